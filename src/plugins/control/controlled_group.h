// One group under control of this replica: its lease, its controller, and the
// ways to its ranks.

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

// The process that controls groups, as ranks and the configuration know it.
struct GroupDriverOptions {
  NodeId self;
  Incarnation incarnation;
  std::string address;  // "ip:port" that takes statuses
};

// Held by a shared pointer, as its proposals may outlast it.
class ControlledGroup : public std::enable_shared_from_this<ControlledGroup> {
 public:
  ControlledGroup(net::NetworkLoop& loop,
                  links::LinkClient& client,
                  ConfigService& config,
                  GroupDriverOptions options,
                  config::GroupSpec spec);

  const config::GroupSpec& spec() const { return spec_; }
  // Nothing while this replica has no lease for the group.
  std::optional<GroupReport> report() const;

  // To be called often, while this replica leads.
  void Tick(TimePoint now);
  void OnStatus(const TargetId& target,
                const groups::RankStatus& status,
                TimePoint now);
  void OnCounts(const groups::ExpertCounts& counts, TimePoint now);
  // Nothing is sent or proposed from now on.
  void Close() { is_closed_ = true; }

 private:
  using Json = boost::json::value;

  bool MaintainLease(TimePoint now);
  void RequestLease(FencingToken previous);
  void RefreshContacts(TimePoint now);
  // A map that operators' orders or else the policy ask for.
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
  // The token that this object was granted itself, and until when it may act.
  std::optional<FencingToken> token_;
  std::optional<FencingToken>
      controller_token_;  // the controller knows of this one
  TimePoint lease_until_;
  TimePoint next_contacts_at_;
  // Agents of the targets that may hold a rank.
  std::map<TargetId, std::string> candidates_;
  groups::GroupContacts contacts_;
  std::map<RankIndex, Incarnation> incarnations_;
  // The map that operators' orders came to last.
  std::optional<placement::ExpertMap> last_requested_map_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONTROLLED_GROUP_H_
