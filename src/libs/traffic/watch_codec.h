// JSON encoding of the long-poll query of a gateway to a control node, and of
// the response.

#ifndef LIBS_TRAFFIC_WATCH_CODEC_H_
#define LIBS_TRAFFIC_WATCH_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/cold_targets/gateway_seat.h"
#include "libs/declared_limits/declared_limit.h"
#include "libs/evacuation/evacuation_state.h"
#include "libs/group_loads/group_load.h"
#include "libs/packing/packed_text.h"
#include "libs/quarantine/quarantine_record.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {

// Maximum time that a control node holds a query. The response tells the
// gateway that the connection works.
inline constexpr Duration kMaxWatchDuration = Milliseconds(1000);

// What the gateway has already.
struct WatchQuery {
  // Name of the gateway; empty if a control node sends the query.
  std::string requester;
  // Address at which that control node accepts queries; empty for a gateway.
  std::string control_address;
  std::uint64_t boot = 0;      // of the control node that sent the revisions
  std::uint64_t revision = 0;  // of the targets
  std::uint64_t version = 0;   // of the configuration
  bool was_leader = false;
  std::uint64_t slow_revision = 0;  // of the slow targets
  std::uint64_t quarantine_revision = 0;
  std::uint64_t limits_revision = 0;
  std::uint64_t evacuation_revision = 0;
  std::uint64_t group_loads_revision = 0;
  // Whether the gateway needs a seat; the number of gateways of the seat that
  // the node reported last, and whether that was confirmed; and the number of
  // the seat that the gateway uses. 0 without a seat.
  bool wants_seat = false;
  std::uint64_t seat_count = 0;
  bool is_seat_confirmed = false;
  std::uint64_t known_seat_count = 0;
  // Limits that targets recently declared to the gateway.
  std::vector<declared_limits::LimitStatement> limits;
  // Whether the response should include a newer configuration or only its
  // version. All control nodes have the same configuration, which may be large.
  bool wants_configuration = true;
  Duration wait{};
};

struct WatchAnswer {
  std::uint64_t boot = 0;
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  // Size of that configuration's text in bytes.
  std::uint64_t bytes = 0;
  // The node is the leader, so no newer configuration had been accepted before.
  bool is_leader = false;
  std::uint64_t slow_revision = 0;
  // Whether `targets` are all targets of the node and not only those that
  // changed.
  bool is_whole = false;
  // Target records, see UnpackTargets().
  packing::PackedText targets;
  // Number of gateways that recently sent queries to the node.
  std::uint64_t gateways = 0;
  // Number of gateways that share the retry budgets; 0 if the node can't know
  // it, see GatewayCensus.
  std::uint64_t sharers = 0;
  // Addresses of the control nodes.
  std::vector<std::string> members;
  // The targets that the leader found slow, by address: how many times as long
  // as healthy ones they take.
  std::map<std::string, double> slow_targets;
  std::uint64_t quarantine_revision = 0;
  // All known requests that terminate targets. Only set if the requester's
  // revision differs.
  std::optional<std::vector<quarantine::QuarantineRecord>> quarantine;
  // Whether `quarantine` replaces what the node reported before. A node that
  // has just started may not have received all records yet.
  bool is_quarantine_whole = true;
  std::uint64_t limits_revision = 0;
  // The requester's shares of all limits that targets declare. Only set if the
  // requester's revision differs.
  std::optional<std::vector<declared_limits::LimitShare>> shares;
  // The failure domains whose targets get no requests, as far as the node
  // knows.
  evacuation::EvacuationState evacuations;
  // The seat of the requester. Only set if it wants one and the node knows it.
  std::optional<cold_targets::GatewaySeat> seat;
  std::uint64_t group_loads_revision = 0;
  // The loads of the groups that the node leads. Only set if the requester's
  // revision differs.
  std::optional<std::vector<group_loads::GroupLoad>> group_loads;
  // Only set if it is newer than the gateway's version and wanted.
  std::optional<packing::PackedText> configuration;
};

boost::json::value ToJson(const WatchQuery& query);
boost::json::value ToJson(const WatchAnswer& answer);
// Return nothing if `json` does not have the form that ToJson() writes.
std::optional<WatchQuery> WatchQueryFromJson(const boost::json::value& json);
std::optional<WatchAnswer> WatchAnswerFromJson(const boost::json::value& json);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_WATCH_CODEC_H_
