#ifndef LIBS_SCENARIO_REPLICA_HOST_H_
#define LIBS_SCENARIO_REPLICA_HOST_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libs/config/control_member_spec.h"
#include "libs/config/state_machine.h"
#include "libs/consensus/replica.h"
#include "libs/scenario/config_checks.h"
#include "libs/scenario/fake_network.h"

namespace bilberryspool::scenario {

// The data folder of a replica; outlives its process.
struct Disk {
  consensus::RecoveredState synced;
  // Writes in progress, oldest first.
  std::deque<consensus::Action> unsynced;

  // Keeps the first `kept` of the writes in progress and drops the others.
  void Crash(std::size_t kept);
  void Sync(consensus::PersistTicket ticket);
};

// A control replica with its state machine, connected as in the program.
class ReplicaHost {
 public:
  struct Hooks {
    // Called for each applied change of the configuration: with the step, or
    // with the whole state where no step is available.
    std::function<void(const config::Delta&, config::Digest from)>
        step_committed;
    std::function<void(const config::Configuration&)> state_adopted;
    std::function<void(const consensus::RoleChanged&)> role_changed;
    // Called when this process has taken part in bootstrapping the log, from an
    // empty folder.
    std::function<void()> log_founded;
    // Looks up a member's failure domain; empty where it is unknown.
    std::function<FailureDomain(const NodeId&)> domain_of;
  };
  // The result of a proposal. Not delivered if the process ends before.
  using Answer = decltype(ProposeReply::result);
  using Done = std::function<void(const Answer&)>;

  ReplicaHost(FakeNetwork& network,
              Verdict& verdict,
              ConfigChecks& checks,
              Disk& disk,
              consensus::ReplicaOptions options,
              Hooks hooks);

  void Start();
  void Receive(const consensus::Message& message);
  void Propose(const config::Command& command, Done done);

  bool leads() const { return replica_.is_leader_with_lease(network_.now()); }
  const consensus::Replica& replica() const { return replica_; }

 private:
  const NodeId& self() const { return replica_.self().node; }
  void Run();
  void Handle(const consensus::Event& event);
  void Execute(const consensus::Send& send);
  void Execute(const consensus::Persist& persist);
  void Execute(const consensus::PersistSnapshot& persist);
  void Execute(const consensus::CompactLog& compact);
  void Execute(const consensus::Apply& apply);
  void Execute(const consensus::RestoreSnapshot& restore);
  void Execute(const consensus::ProposalOutcome& outcome);
  void Execute(const consensus::ReadOutcome&) {}
  void Execute(const consensus::RoleChanged& change);
  void Execute(const consensus::Halted& halted);
  void Write(consensus::PersistTicket ticket, const consensus::Action& job);
  void ApplyEntry(const consensus::LogEntry& entry);
  void AnswerAppliedProposals();

  // replica_host_membership.cc
  void MaintainMembership();
  void DriveReplacement();
  void ObserveMembers();
  std::vector<config::ControlMemberSpec> ObservedMembers() const;

  FakeNetwork& network_;
  Verdict& verdict_;
  ConfigChecks& checks_;
  Disk& disk_;
  Hooks hooks_;
  consensus::Replica replica_;
  config::StateMachine state_machine_;
  // The data folder was empty when this process started.
  bool was_folder_empty_;
  TimePoint disk_free_at_;
  LogIndex last_snapshot_;
  consensus::RequestTicket last_ticket_;
  std::map<consensus::RequestTicket, Done> proposed_;
  // Outcomes of the latest applied entries, by log index. The command id can't
  // be the key: the same id with another text is refused, so one id can have
  // two outcomes.
  std::map<LogIndex, config::Outcome> outcomes_;
  // Callbacks of proposals that are committed but may not be applied yet.
  std::multimap<LogIndex, Done> accepted_;
  std::uint64_t issued_commands_ = 0;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_REPLICA_HOST_H_
