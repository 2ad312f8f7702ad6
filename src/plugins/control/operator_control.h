// What operators can ask of and order through an entry's control thread.

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
  // The order may or may not take effect: resend it with the same command id.
  kUnknown,
  // Too many orders wait; nothing was done.
  kBusy,
};

struct ControlFailure {
  ControlFailureKind kind = ControlFailureKind::kNoLeader;
  // A sentence for people.
  std::string detail;
};

// One control replica as this entry sees the group.
struct ReplicaStatus {
  // "leader", "follower", "candidate", "halted", or "none" without a data
  // folder.
  std::string role;
  std::uint64_t term = 0;
  std::optional<NodeId> leader;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  bool has_lease = false;
  // Members as "voter", "learner", "leaving".
  std::map<NodeId, std::string> members;
  // Nodes with a new folder that wait to be admitted.
  std::vector<NodeId> awaiting_admission;
};

// Implemented by the control thread; all calls come from fibers of its loop.
// Those that take `patience` may suspend.
class OperatorControl {
 public:
  virtual ~OperatorControl() = default;

  // Carried out here where this replica leads, else at the leader.
  virtual std::variant<config::Outcome, ControlFailure> Propose(
      const config::Command& command,
      Duration timeout) = 0;
  virtual std::variant<config::PlanResult, ControlFailure> Plan(
      const config::Command& command,
      Duration timeout) = 0;
  // How far `version` is in force, by the leader's account.
  virtual std::variant<spread::Coverage, ControlFailure> CoverageOf(
      ConfigVersion version,
      Duration timeout) = 0;

  // The configuration in force on this entry; version 0: none yet.
  virtual const config::Configuration& configuration() const = 0;
  // How long ago the leader vouched for it; nothing before the first time.
  virtual std::optional<Duration> config_age(TimePoint now) const = 0;
  virtual const membership::Directory& directory() const = 0;
  virtual ReplicaStatus replica_status(TimePoint now) const = 0;

  // What was heard last of each group that has a controller.
  virtual std::map<GroupId, ReceivedGroupReport> group_reports() const {
    return {};
  }

  // The last routing decisions for a service, newest first, as this entry's
  // callers thread made them, in words.
  virtual std::vector<std::string> routing_reasons(
      const ServiceId& service) const = 0;
  // What this entry knows of a request: "answered, 1 attempt on drafter-11".
  virtual std::optional<std::string> request_outcome(
      const RequestId& request) const = 0;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_OPERATOR_CONTROL_H_
