#include "auto/operators/fake_operator_control.h"

namespace bilberryspool::operators {

namespace {

membership::DirectoryOptions OptionsOfEntry() {
  membership::DirectoryOptions options;
  options.self = {NodeId("entry-1"), FailureDomain("sahab"), "127.0.0.1:1",
                  Incarnation(1)};
  return options;
}

}  // namespace

FakeOperatorControl::FakeOperatorControl() : targets(OptionsOfEntry(), 1) {
  coverages.emplace_back(spread::Coverage{9, 9, {}, {}});
}

std::variant<config::Outcome, control::ControlFailure>
FakeOperatorControl::Propose(const config::Command& command, Duration) {
  proposed.push_back(command);
  if (failures.empty()) {
    return machine.Apply(command, LogIndex(++index_));
  }
  const Failure failure = failures.front();
  failures.pop_front();
  if (failure.takes_effect) {
    machine.Apply(command, LogIndex(++index_));
  }
  return failure.failure;
}

std::variant<config::PlanResult, control::ControlFailure>
FakeOperatorControl::Plan(const config::Command& command, Duration) {
  return machine.Plan(command);
}

std::variant<spread::Coverage, control::ControlFailure>
FakeOperatorControl::CoverageOf(ConfigVersion, Duration) {
  const auto coverage = coverages.front();
  if (coverages.size() > 1) {
    coverages.pop_front();
  }
  return coverage;
}

control::ReplicaStatus FakeOperatorControl::replica_status(TimePoint) const {
  control::ReplicaStatus status;
  if (!has_replica) {
    status.role = "none";
    return status;
  }
  status.role = "leader";
  status.term = 3;
  status.leader = NodeId("entry-1");
  status.commit_index = index_;
  status.applied_index = index_;
  status.has_lease = true;
  status.members = {{NodeId("entry-1"), "voter"}, {NodeId("entry-2"), "voter"}};
  status.awaiting_admission = {NodeId("entry-9")};
  return status;
}

std::vector<std::string> FakeOperatorControl::routing_reasons(
    const ServiceId& service) const {
  if (service != ServiceId("drafter")) {
    return {};
  }
  return {"request r1 to t1: least work of 2 targets"};
}

std::optional<std::string> FakeOperatorControl::request_outcome(
    const RequestId& request) const {
  if (request != RequestId("r1")) {
    return std::nullopt;
  }
  return "answered, 1 attempt on t1";
}

void FakeOperatorControl::Announce(const char* target,
                                   const char* domain,
                                   TimePoint now) {
  membership::Announcement announcement;
  announcement.target = TargetId(target);
  announcement.node = NodeId(std::string("agent-") + target);
  announcement.domain = FailureDomain(domain);
  announcement.services = {ServiceId("drafter")};
  announcement.slots = 16;
  announcement.claim = {Incarnation(1), 1};
  announcement.state = membership::TargetState::kServing;
  announcement.sequence = 1;
  targets.Handle(membership::AnnouncementReceived{announcement}, now);
  membership::Heartbeat heartbeat;
  heartbeat.target = announcement.target;
  heartbeat.claim = announcement.claim;
  heartbeat.sequence = 1;
  heartbeat.heartbeat_number = 1;
  heartbeat.load.running = 5;
  heartbeat.load.queued = 1;
  heartbeat.load.age = Milliseconds(300);
  targets.Handle(membership::HeartbeatReceived{heartbeat}, now);
}

}  // namespace bilberryspool::operators
