// One group that this replica controls: its lease, its controller, and the
// addresses of its ranks.

#ifndef PLUGINS_CONTROL_CONTROLLED_GROUP_H_
#define PLUGINS_CONTROL_CONTROLLED_GROUP_H_

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libs/config/group_spec.h"
#include "libs/groups/group_contacts.h"
#include "libs/groups/group_controller.h"
#include "libs/links/link_client.h"
#include "libs/telemetry/log.h"
#include "plugins/control/group_policy.h"
#include "plugins/control/group_report.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::control {

class ConfigService;

// Identity of the process that controls groups, as known to ranks and to the
// configuration.
struct GroupDriverOptions {
  NodeId self;
  Incarnation incarnation;
  std::string address;  // "ip:port" that takes statuses
};

// Held by a shared pointer, as fibers with pending proposals may outlive its
// removal.
class ControlledGroup : public std::enable_shared_from_this<ControlledGroup> {
 public:
  ControlledGroup(net::NetworkLoop& loop,
                  links::LinkClient& client,
                  ConfigService& config,
                  GroupDriverOptions options,
                  config::GroupSpec spec);

  const config::GroupSpec& spec() const { return spec_; }
  // Empty while this replica has no lease for the group.
  std::optional<GroupReport> report() const;

  // Called at short intervals while this replica leads.
  void Tick(TimePoint now);
  void OnStatus(const TargetId& target,
                const groups::RankStatus& status,
                TimePoint now);
  void OnCounts(const groups::ExpertCounts& counts, TimePoint now);
  // Stops the controller: it sends and proposes nothing after this.
  void Close() { is_closed_ = true; }

 private:
  using Json = boost::json::value;

  // Checks or requests the lease; returns whether this replica holds it.
  bool MaintainLease(TimePoint now);
  void RequestLease(FencingToken previous);
  void RefreshContacts(TimePoint now);
  // Hands the controller a new map if operators' orders or the policy require
  // one.
  void RequestMapChange(TimePoint now);
  std::optional<placement::ExpertMap> ConsultPolicy(TimePoint now);
  void Handle(const groups::ControllerEvent& event, TimePoint now);
  void Execute(const groups::SendOrder& action);
  void Execute(const groups::RecordMap& action);
  void Execute(const groups::GroupStateChanged& action);
  void Execute(const groups::MapRefused& action);
  void Send(const std::string& address,
            const std::string& method,
            const Json& params);
  CommandId MakeCommandId(const std::string& id_prefix);

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  ConfigService& config_;
  GroupDriverOptions options_;
  config::GroupSpec spec_;
  telemetry::Logger log_;
  groups::GroupController controller_;
  GroupPolicy policy_;
  TimePoint next_decision_at_;
  bool is_closed_ = false;
  bool is_requesting_lease_ = false;
  bool is_recording_ = false;
  std::uint64_t command_count_ = 0;
  // Token of the lease that was granted to this object; it may act until
  // `lease_until_`.
  std::optional<FencingToken> token_;
  // Token of the lease that was last passed to the controller.
  std::optional<FencingToken> controller_token_;
  TimePoint lease_until_;
  TimePoint next_contacts_at_;
  // Agent addresses of the targets that may hold a rank.
  std::map<TargetId, std::string> candidates_;
  groups::GroupContacts contacts_;
  std::map<RankIndex, Incarnation> incarnations_;
  // The map that was last handed to the controller, which is not handed over
  // again.
  std::optional<placement::ExpertMap> last_requested_map_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONTROLLED_GROUP_H_
