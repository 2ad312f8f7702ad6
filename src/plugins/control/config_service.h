// Access of one entry to the replicated configuration: the state machine of its
// control replica, proposals, which are forwarded to the leader, and the
// configuration in force on this entry.

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

// A control replica named by the settings; used until the configuration lists
// the control members.
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

  // Called on a control replica before its first event. `is_new_folder`: its
  // data folder has never been part of a control group.
  void SetReplica(ReplicaDriver* replica, bool is_new_folder) {
    replica_ = replica;
    is_new_folder_ = is_new_folder;
  }
  // Source of the group reports that operators are shown.
  void SetGroups(const GroupDriver* groups) { groups_ = groups; }
  void Register(links::LinkServer& server);
  void Start();

  void AddReport(CallerReport report) { reports_.Add(std::move(report)); }

  // Called by the hooks of the replica.
  void Apply(const std::vector<consensus::LogEntry>& entries);
  void Restore(const consensus::Snapshot& snapshot);
  std::string MakeSnapshot() const;
  void RoleChanged(const consensus::RoleChanged& change);

  // Address of a node of the system, if it is known.
  std::optional<net::Endpoint> FindNode(const NodeId& node) const;
  // The nodes that the spreader may send to. Also refreshes the addresses that
  // FindNode() returns.
  spread::TopologyChanged Topology();
  // The control replicas named by the configuration in force, or by the
  // settings where it names none.
  std::vector<NodeId> control_members() const;
  // Whether this replica has bootstrapped the log as one of its initial voters,
  // with this data folder and since this start of the process.
  bool has_bootstrapped() const { return has_bootstrapped_; }

  // Whether this replica leads the control group.
  bool leads() const;
  // The configuration after the last log entry applied here; may be newer than
  // the one in force.
  const config::Configuration& committed() const {
    return state_machine_.configuration();
  }

  // OperatorControl. Plans are computed on this entry's own state: that of its
  // replica, or without one the configuration in force.
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
  // Result of a call to the leader: its reply, or why there is none.
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
  // Outcomes of the latest entries applied here, for the fibers that proposed
  // them.
  std::map<LogIndex, config::Outcome> outcomes_;
  std::uint64_t command_count_ = 0;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONFIG_SERVICE_H_
