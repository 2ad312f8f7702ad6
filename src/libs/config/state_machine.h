// The replicated state: what the log's entries add up to.
//
// Each control replica applies the same commands at the same log indices and
// comes to the same state, bit for bit; nothing else goes into it, no clock and
// no view of the fleet. It guards against operators who race each other with
// changes based on the same version, against commands that are sent again after
// their answer was lost, and against two controllers of one group.

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

// All that a snapshot must hold.
struct StateMachineState {
  LogIndex applied_index;
  // Highest token ever granted, also to groups that are gone.
  FencingToken latest_token;
  Configuration configuration;
  ChangeHistory history;
  CommandTable commands;

  bool operator==(const StateMachineState&) const = default;
};

enum class EffectKind { kCreated, kReplaced, kRemoved };

struct PlannedEffect {
  EffectKind kind = EffectKind::kCreated;
  // "service drafter".
  std::string object;

  bool operator==(const PlannedEffect&) const = default;
};

// What a command would lead to.
struct PlanResult {
  Outcome outcome;
  std::vector<PlannedEffect> effects;
  // What is allowed, but may not be meant.
  std::vector<std::string> warnings;
};

class StateMachine {
 public:
  static constexpr std::size_t kMaxChangesPerCommand = 512;

  StateMachine() = default;
  explicit StateMachine(StateMachineState state);

  // Applies the command of one log entry; indices only grow. A command id that
  // is known returns its first outcome and has no effect.
  Outcome Apply(const Command& command, LogIndex index);

  // What Apply would do now, without doing it.
  PlanResult Plan(const Command& command) const;

  // The first outcome of a command; none where it was never applied, or was
  // forgotten since.
  std::optional<Outcome> FindOutcome(const CommandId& id) const;

  // A delta for a node at `from`; none where it needs the full state.
  std::optional<Delta> DeltaFrom(ConfigVersion from) const;

  const Configuration& configuration() const { return state_.configuration; }
  LogIndex applied_index() const { return state_.applied_index; }
  const StateMachineState& state() const { return state_; }

 private:
  // An outcome that is certain before anything is carried out.
  std::optional<Outcome> ResolveWithoutExecution(const Command& command) const;
  std::optional<Refused> CheckPreconditions(const Command& command) const;
  std::optional<Refused> CheckExpectation(const Command& command) const;
  Outcome ExecuteCommand(const Command& command);

  StateMachineState state_;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_STATE_MACHINE_H_
