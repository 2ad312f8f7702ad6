#ifndef AUTO_OPERATORS_FAKE_OPERATOR_CONTROL_H_
#define AUTO_OPERATORS_FAKE_OPERATOR_CONTROL_H_

#include <deque>

#include "libs/config/state_machine.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

// A control group of one replica, with failures that tests can inject.
class FakeOperatorControl : public control::OperatorControl {
 public:
  struct Failure {
    control::ControlFailure failure;
    // The change takes effect; only its answer is lost.
    bool takes_effect = false;
  };

  FakeOperatorControl();

  std::variant<config::Outcome, control::ControlFailure> Propose(
      const config::Command& command,
      Duration timeout) override;
  std::variant<config::PlanResult, control::ControlFailure> Plan(
      const config::Command& command,
      Duration timeout) override;
  // Returns the first of `coverages`, and removes it unless it is the last.
  std::variant<spread::Coverage, control::ControlFailure> CoverageOf(
      ConfigVersion version,
      Duration timeout) override;
  const config::Configuration& configuration() const override {
    return machine.configuration();
  }
  std::optional<Duration> config_age(TimePoint) const override {
    return Milliseconds(200);
  }
  const membership::Directory& directory() const override { return targets; }
  control::ReplicaStatus replica_status(TimePoint) const override;
  std::map<GroupId, control::ReceivedGroupReport> group_reports()
      const override {
    return reports;
  }
  std::vector<std::string> routing_reasons(
      const ServiceId& service) const override;
  std::optional<std::string> request_outcome(
      const RequestId& request) const override;

  void Announce(const char* target, const char* domain, TimePoint now);

  config::StateMachine machine;
  membership::Directory targets;
  std::map<GroupId, control::ReceivedGroupReport> reports;
  std::deque<Failure> failures;
  std::deque<std::variant<spread::Coverage, control::ControlFailure>> coverages;
  std::vector<config::Command> proposed;
  // False: an entry without a data folder.
  bool has_replica = true;

 private:
  std::uint64_t index_ = 0;
};

}  // namespace bilberryspool::operators

#endif  // AUTO_OPERATORS_FAKE_OPERATOR_CONTROL_H_
