// The question of a gateway to a control node, and the answer, as JSON.

#ifndef LIBS_TRAFFIC_WATCH_CODEC_H_
#define LIBS_TRAFFIC_WATCH_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/declared_limits/declared_limit.h"
#include "libs/packing/packed_text.h"
#include "libs/quarantine/quarantine_record.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {

// A control node holds a question no longer than this: the gateway notices by
// the answer that the link is alive.
inline constexpr Duration kMaxWatchDuration = Milliseconds(1000);

// What the gateway knows.
struct WatchQuery {
  // Name of the gateway that asks; empty where it is a control node.
  std::string requester;
  // Where that control node is asked in turn; empty for a gateway.
  std::string control_address;
  std::uint64_t boot = 0;      // of the control node that it knows it from
  std::uint64_t revision = 0;  // of the targets
  std::uint64_t version = 0;   // of the configuration
  bool was_leader = false;
  std::uint64_t slow_revision = 0;  // of the slow targets
  std::uint64_t quarantine_revision = 0;
  std::uint64_t limits_revision = 0;
  // What the gateway heard of limits from targets lately.
  std::vector<declared_limits::LimitStatement> limits;
  // Whether a newer configuration is wanted with the answer, or only its
  // number: all control nodes have the same one, which may be large.
  bool wants_configuration = true;
  Duration wait{};
};

struct WatchAnswer {
  std::uint64_t boot = 0;
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  // Size of that configuration's text.
  std::uint64_t bytes = 0;
  // The node leads, so that no newer configuration was accepted before.
  bool is_leader = false;
  std::uint64_t slow_revision = 0;
  // All targets that the node knows, not only what changed.
  bool is_whole = false;
  // Records, see UnpackTargets().
  packing::PackedText targets;
  // Gateways that the node has heard of lately.
  std::uint64_t gateways = 0;
  // Addresses of the control nodes.
  std::vector<std::string> members;
  // How many times as long as healthy ones targets take, by address; those that
  // the leader has found slow.
  std::map<std::string, double> slow_targets;
  std::uint64_t quarantine_revision = 0;
  // Requests that end targets, all that are known; only where the asker's
  // revision is another one.
  std::optional<std::vector<quarantine::QuarantineRecord>> quarantine;
  // Whether it replaces what the node told before; one that has just started
  // may not have heard of all yet.
  bool is_quarantine_whole = true;
  std::uint64_t limits_revision = 0;
  // The asker's shares of all limits that targets declare; only where its
  // revision is another one.
  std::optional<std::vector<declared_limits::LimitShare>> shares;
  // Only where it is newer than the gateway's, and wanted.
  std::optional<packing::PackedText> configuration;
};

boost::json::value ToJson(const WatchQuery& query);
boost::json::value ToJson(const WatchAnswer& answer);
// Nothing where `json` is not what ToJson makes.
std::optional<WatchQuery> WatchQueryFromJson(const boost::json::value& json);
std::optional<WatchAnswer> WatchAnswerFromJson(const boost::json::value& json);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_WATCH_CODEC_H_
