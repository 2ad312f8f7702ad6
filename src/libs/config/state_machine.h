// The state machine that is replicated by the log of the control replicas.
//
// Each control replica applies the same commands at the same log indices and
// reaches exactly the same state. The state depends on nothing else, neither on
// a clock nor on the observed state of the fleet. The state machine protects
// against concurrent changes by operators that read the same version, against
// commands that are sent again because their answer was lost, and against two
// controllers of one group.

#ifndef LIBS_CONFIG_STATE_MACHINE_H_
#define LIBS_CONFIG_STATE_MACHINE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/config/change_history.h"
#include "libs/config/command.h"
#include "libs/config/command_table.h"
#include "libs/config/configuration.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config {

// The complete state; the content of a snapshot.
struct StateMachineState {
  LogIndex applied_index;
  // Highest token granted so far, including those of removed groups.
  FencingToken latest_token;
  Configuration configuration;
  ChangeHistory history;
  CommandTable commands;

  bool operator==(const StateMachineState&) const = default;
};

enum class EffectKind { kCreated, kReplaced, kRemoved };

struct PlannedEffect {
  EffectKind kind = EffectKind::kCreated;
  // Name of the object, such as "service drafter".
  std::string object;

  bool operator==(const PlannedEffect&) const = default;
};

// The expected result of a command.
struct PlanResult {
  Outcome outcome;
  std::vector<PlannedEffect> effects;
  // Problems that are allowed but may be unintended.
  std::vector<std::string> warnings;
};

class StateMachine {
 public:
  static constexpr std::size_t kMaxChangesPerCommand = 512;

  StateMachine() = default;
  explicit StateMachine(StateMachineState state);

  // Applies the command of one log entry; `index` must be higher than that of
  // the previous call. If the command was applied before, returns its first
  // outcome and has no effect.
  Outcome Apply(const Command& command, LogIndex index);

  // Returns what Apply() would do now, without changing the state.
  PlanResult Plan(const Command& command) const;

  // The first outcome of a command; none if it was never applied or its record
  // was evicted.
  std::optional<Outcome> FindOutcome(const CommandId& id) const;

  // A delta for a node at version `from`; none if the node needs the full
  // state.
  std::optional<Delta> DeltaFrom(ConfigVersion from) const;

  const Configuration& configuration() const { return state_.configuration; }
  LogIndex applied_index() const { return state_.applied_index; }
  const StateMachineState& state() const { return state_; }

 private:
  // The outcome of a command that needs no execution: a command with invalid
  // names, one that was applied before, a reused id, or a command too old to
  // tell whether it was applied.
  std::optional<Outcome> ResolveWithoutExecution(const Command& command) const;
  // Refuses a command with no or too many changes, or whose expectation fails.
  std::optional<Refused> CheckPreconditions(const Command& command) const;
  // Refuses a command if its expected version is unknown or too old, or if
  // conflicting changes were accepted since that version.
  std::optional<Refused> CheckExpectation(const Command& command) const;
  // Executes the command, and records its token and its changes.
  Outcome ExecuteCommand(const Command& command);

  StateMachineState state_;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_STATE_MACHINE_H_
