// Interface of an entry's control thread for operators' statements.

#ifndef PLUGINS_CONTROL_OPERATOR_CONTROL_H_
#define PLUGINS_CONTROL_OPERATOR_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/config/command.h"
#include "libs/config/configuration.h"
#include "libs/config/outcome.h"
#include "libs/config/state_machine.h"
#include "libs/membership/directory.h"
#include "libs/spread/coverage.h"
#include "plugins/control/group_report.h"

namespace bilberryspool::control {

enum class ControlFailureKind {
  // No leader could be reached; nothing was done.
  kNoLeader,
  // The command may or may not take effect: resend it with the same id.
  kUnknown,
  // Too many commands are pending; nothing was done.
  kBusy,
};

struct ControlFailure {
  ControlFailureKind kind = ControlFailureKind::kNoLeader;
  // Human-readable explanation.
  std::string detail;
};

// State of this entry's control replica and its view of the control group.
struct ReplicaStatus {
  // "leader", "follower", "candidate", "halted", or "none" without a data
  // folder.
  std::string role;
  std::uint64_t term = 0;
  std::optional<NodeId> leader;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  bool has_lease = false;
  // Standing of each member: "voter", "learner" or "leaving".
  std::map<NodeId, std::string> members;
  // Nodes with a new data folder that wait for admission.
  std::vector<NodeId> awaiting_admission;
};

// Implemented by the control thread; all calls come from fibers of its loop.
// Functions with a `timeout` may suspend the calling fiber.
class OperatorControl {
 public:
  virtual ~OperatorControl() = default;

  // Proposed here if this replica leads, else forwarded to the leader.
  virtual std::variant<config::Outcome, ControlFailure> Propose(
      const config::Command& command,
      Duration timeout) = 0;
  virtual std::variant<config::PlanResult, ControlFailure> Plan(
      const config::Command& command,
      Duration timeout) = 0;
  // On how many nodes `version` is in force, as known to the leader.
  virtual std::variant<spread::Coverage, ControlFailure> CoverageOf(
      ConfigVersion version,
      Duration timeout) = 0;

  // The configuration in force on this entry; version 0: none yet.
  virtual const config::Configuration& configuration() const = 0;
  // Time since the leader last confirmed that configuration; empty before the
  // first confirmation.
  virtual std::optional<Duration> config_age(TimePoint now) const = 0;
  virtual const membership::Directory& directory() const = 0;
  virtual ReplicaStatus replica_status(TimePoint now) const = 0;

  // The latest report on each group that has a controller.
  virtual std::map<GroupId, ReceivedGroupReport> group_reports() const {
    return {};
  }

  // Descriptions of the latest routing decisions that this entry's callers
  // thread made for a service, newest first.
  virtual std::vector<std::string> routing_reasons(
      const ServiceId& service) const = 0;
  // Description of a request's outcome, if this entry knows it: "answered, 1
  // attempt on drafter-11".
  virtual std::optional<std::string> request_outcome(
      const RequestId& request) const = 0;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_OPERATOR_CONTROL_H_
