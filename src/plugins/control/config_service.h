// The replicated configuration as one entry sees it: the state machine behind
// the control replica, proposals from anywhere, and what is in force here.

#ifndef PLUGINS_CONTROL_CONFIG_SERVICE_H_
#define PLUGINS_CONTROL_CONFIG_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/config/state_machine.h"
#include "plugins/control/directory_driver.h"
#include "plugins/control/operator_control.h"
#include "plugins/control/recent_reports.h"
#include "plugins/control/replica_driver.h"
#include "plugins/spreading/spread_driver.h"

namespace bilberryspool::control {

class GroupDriver;

// A control replica of the settings, until the configuration names them.
struct SeedMember {
  NodeId node;
  net::Endpoint address;
};

// Runs in the control loop.
class ConfigService : public OperatorControl {
 public:
  ConfigService(net::NetworkLoop& loop,
                links::LinkClient& client,
                DirectoryDriver& directory,
                spreading::SpreadDriver& spread,
                std::vector<SeedMember> seeds);

  // On a control replica, before its first event. `is_new_folder`: its folder
  // is new.
  void SetReplica(ReplicaDriver* replica, bool is_new_folder) {
    replica_ = replica;
    is_new_folder_ = is_new_folder;
  }
  // Whose reports operators get.
  void SetGroups(const GroupDriver* groups) { groups_ = groups; }
  void Register(links::LinkServer& server);
  void Start();

  void AddReport(CallerReport report) { reports_.Add(std::move(report)); }

  // Hooks of the replica.
  void Apply(const std::vector<consensus::LogEntry>& entries);
  void Restore(const consensus::Snapshot& snapshot);
  std::string MakeSnapshot() const;
  void RoleChanged(const consensus::RoleChanged& change);

  // Where a node of the system is reached.
  std::optional<net::Endpoint> FindNode(const NodeId& node) const;
  // Whom the spreader may speak to; also refreshes what FindNode knows.
  spread::TopologyChanged Topology();
  // The control replicas, by the configuration in force or the settings.
  std::vector<NodeId> control_members() const;
  // Whether this replica was one of those that founded the log, from this
  // folder and since this start.
  bool has_bootstrapped() const { return has_bootstrapped_; }

  // Whether this replica leads the control group.
  bool leads() const;
  // What this replica has applied of the log; may be ahead of what is in force.
  const config::Configuration& committed() const {
    return state_machine_.configuration();
  }

  // OperatorControl. Plans are made on what is in force here.
  std::variant<config::Outcome, ControlFailure> Propose(
      const config::Command& command,
      Duration timeout) override;
  std::variant<config::PlanResult, ControlFailure> Plan(
      const config::Command& command,
      Duration timeout) override;
  std::variant<spread::Coverage, ControlFailure> CoverageOf(
      ConfigVersion version,
      Duration timeout) override;
  const config::Configuration& configuration() const override;
  std::optional<Duration> config_age(TimePoint now) const override;
  const membership::Directory& directory() const override;
  ReplicaStatus replica_status(TimePoint now) const override;
  std::map<GroupId, ReceivedGroupReport> group_reports() const override;
  std::vector<std::string> routing_reasons(
      const ServiceId& service) const override;
  std::optional<std::string> request_outcome(
      const RequestId& request) const override;

 private:
  using Json = boost::json::value;
  // One call to whoever leads: an answer, or why there is none.
  using LeaderResult = std::variant<Json, ControlFailure>;

  std::variant<config::Outcome, ControlFailure> ProposeLocally(
      const config::Command& command,
      Duration timeout);
  LeaderResult CallLeader(const std::string& method,
                          const Json& params,
                          Duration timeout);
  std::optional<Json> OnPropose(const Json& params);
  std::optional<Json> OnCoverage(const Json& params);
  Json NotLeaderReply() const;

  void RecordOutcome(LogIndex index, config::Outcome outcome);
  void RunMembership();
  void ProposeObservedMembers();
  void AdvanceReplacement();
  std::vector<config::ControlMemberSpec> ObservedMembers() const;
  config::ControlMemberSpec MakeMemberSpec(
      const NodeId& node,
      config::MemberStanding standing) const;
  void RefreshNodes();

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  DirectoryDriver& directory_;
  spreading::SpreadDriver& spread_;
  std::vector<SeedMember> seeds_;
  telemetry::Logger log_;
  ReplicaDriver* replica_ = nullptr;
  const GroupDriver* groups_ = nullptr;
  config::StateMachine state_machine_;
  std::optional<NodeId> leader_hint_;
  std::map<NodeId, net::Endpoint> node_addresses_;
  std::vector<NodeId> agents_;
  bool is_new_folder_ = false;
  bool has_bootstrapped_ = false;
  RecentReports reports_;
  // Of the latest entries applied here, for those who proposed them.
  std::map<LogIndex, config::Outcome> outcomes_;
  std::uint64_t command_count_ = 0;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONFIG_SERVICE_H_
