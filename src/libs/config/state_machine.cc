#include "libs/config/state_machine.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"
#include "libs/config/canonical_form.h"
#include "libs/config/command_execution.h"
#include "libs/config/validation.h"

namespace bilberryspool::config {
namespace {

// Outcomes are stored, so their size is bounded: a refusal lists only the
// latest conflicting changes and the first objects of each.
constexpr std::size_t kMaxReportedChanges = 8;
constexpr std::size_t kMaxReportedObjects = 8;
constexpr std::size_t kMaxDetailLength = 512;

// Fingerprint of the command's content. It is the same for resends, which may
// differ in `issued_after`.
std::uint64_t BodyFingerprint(const Command& command) {
  Command body = command;
  body.issued_after.reset();
  return internal::FingerprintOf(body);
}

std::set<std::string> TouchedObjects(const Command& command) {
  std::set<std::string> touched;
  for (const Change& change : command.changes) {
    for (std::string& name : internal::TouchedObjects(change)) {
      touched.insert(std::move(name));
    }
  }
  return touched;
}

bool IsSystemCommand(const Command& command) {
  return std::all_of(command.changes.begin(), command.changes.end(),
                     &IsSystemChange);
}

// The names of the objects changed by `record` that are within `scope` and
// therefore conflict with the command.
std::vector<std::string> ConflictingObjects(
    const ChangeRecord& record,
    CompareScope scope,
    const std::set<std::string>& touched) {
  std::vector<std::string> names;
  for (const ObjectUpdate& update : record.updates) {
    std::string name = ObjectName(update);
    const bool covered = scope == CompareScope::kConfiguration
                             ? !record.system
                             : touched.contains(name);
    if (!covered) {
      continue;
    }
    if (names.size() == kMaxReportedObjects) {
      names.emplace_back("others");
      break;
    }
    names.push_back(std::move(name));
  }
  return names;
}

EffectKind KindOfEffect(const ObjectUpdate& update, const ObjectUpdate& undo) {
  const auto is_there = [](const auto& typed) {
    return typed.entry.has_value();
  };
  if (!std::visit(is_there, update)) {
    return EffectKind::kRemoved;
  }
  return std::visit(is_there, undo) ? EffectKind::kReplaced
                                    : EffectKind::kCreated;
}

}  // namespace

StateMachine::StateMachine(StateMachineState state)
    : state_(std::move(state)) {}

Outcome StateMachine::Apply(const Command& command, LogIndex index) {
  BILBERRYSPOOL_INVARIANT(index > state_.applied_index,
                          "log entries must be applied once and in order");
  state_.applied_index = index;
  if (std::optional<Outcome> resolved = ResolveWithoutExecution(command)) {
    return std::move(*resolved);
  }
  Outcome outcome = ExecuteCommand(command);
  state_.commands.Add({command.id, index, BodyFingerprint(command), outcome});
  return outcome;
}

std::optional<Outcome> StateMachine::ResolveWithoutExecution(
    const Command& command) const {
  if (!IsValidName(command.id.value()) ||
      !IsValidName(command.operator_id.value())) {
    return Refused{
        RefusalReason::kMalformed, "a command needs an id and an operator", {}};
  }
  if (const CommandRecord* first = state_.commands.Find(command.id)) {
    if (first->body == BodyFingerprint(command)) {
      return first->outcome;
    }
    return Refused{
        RefusalReason::kCommandIdReused,
        "the id " + command.id.value() + " was used for another command before",
        {}};
  }
  if (command.issued_after.has_value() &&
      *command.issued_after < state_.commands.forgotten_up_to()) {
    return Refused{RefusalReason::kCommandForgotten,
                   "the command is too old to tell whether it was carried out; "
                   "look before giving it anew",
                   {}};
  }
  return std::nullopt;
}

std::optional<Refused> StateMachine::CheckExpectation(
    const Command& command) const {
#if defined(BILBERRYSPOOL_MUTATION_SKIP_COMPARE)
  return std::nullopt;
#endif
  if (!command.expected.has_value()) {
    return std::nullopt;
  }
  const ConfigVersion now = configuration().version();
  const ConfigVersion read_at = command.expected->version;
  const std::string at = "the version is " + std::to_string(now.value());
  if (read_at > now) {
    return Refused{RefusalReason::kVersionUnknown, at, {}};
  }
  if (!state_.history.Covers(read_at, now)) {
    return Refused{RefusalReason::kVersionForgotten,
                   at + "; what changed since " +
                       std::to_string(read_at.value()) + " is forgotten",
                   {}};
  }
  Refused refused{RefusalReason::kChangedSince, at, {}};
  const std::set<std::string> touched = TouchedObjects(command);
  const auto& records = state_.history.records();
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (record->version <= read_at ||
        refused.changed_since.size() >= kMaxReportedChanges) {
      break;
    }
    std::vector<std::string> names =
        ConflictingObjects(*record, command.expected->scope, touched);
    if (names.empty()) {
      continue;
    }
    refused.changed_since.push_back({record->version, record->operator_id,
                                     record->command, std::move(names)});
  }
  if (refused.changed_since.empty()) {
    return std::nullopt;
  }
  return refused;
}

std::optional<Refused> StateMachine::CheckPreconditions(
    const Command& command) const {
  if (command.changes.empty() ||
      command.changes.size() > kMaxChangesPerCommand) {
    return Refused{
        RefusalReason::kMalformed, "a command holds 1 to 512 changes", {}};
  }
  return CheckExpectation(command);
}

Outcome StateMachine::ExecuteCommand(const Command& command) {
  if (std::optional<Refused> refused = CheckPreconditions(command)) {
    return std::move(*refused);
  }
  const ConfigVersion before = configuration().version();
  auto result =
      internal::Execute(command, state_.latest_token, state_.configuration);
  if (auto* refused = std::get_if<Refused>(&result)) {
    refused->detail = refused->detail.substr(0, kMaxDetailLength);
    return std::move(*refused);
  }
  auto& executed = std::get<internal::ExecutionResult>(result);
  if (executed.token.has_value()) {
    BILBERRYSPOOL_INVARIANT(*executed.token > state_.latest_token,
                            "a fencing token must not be granted twice");
    state_.latest_token = *executed.token;
  }
  const ConfigVersion after = configuration().version();
  BILBERRYSPOOL_INVARIANT(after >= before, "versions never go back");
  if (after != before) {
    state_.history.Add({after, command.operator_id, command.id,
                        IsSystemCommand(command), std::move(executed.updates)});
  }
  return Accepted{after, executed.token};
}

PlanResult StateMachine::Plan(const Command& command) const {
  if (std::optional<Outcome> resolved = ResolveWithoutExecution(command)) {
    return {std::move(*resolved), {}, {}};
  }
  if (std::optional<Refused> refused = CheckPreconditions(command)) {
    return {std::move(*refused), {}, {}};
  }
  Configuration trial = configuration();
  auto result = internal::Execute(command, state_.latest_token, trial);
  if (auto* refused = std::get_if<Refused>(&result)) {
    refused->detail = refused->detail.substr(0, kMaxDetailLength);
    return {std::move(*refused), {}, {}};
  }
  const auto& executed = std::get<internal::ExecutionResult>(result);
  PlanResult plan{
      Accepted{trial.version(), executed.token}, {}, Warnings(trial)};
  auto undo = executed.undo.rbegin();
  for (const ObjectUpdate& update : executed.updates) {
    plan.effects.push_back({KindOfEffect(update, *undo), ObjectName(update)});
    ++undo;
  }
  return plan;
}

std::optional<Outcome> StateMachine::FindOutcome(const CommandId& id) const {
  const CommandRecord* record = state_.commands.Find(id);
  return record == nullptr ? std::nullopt : std::make_optional(record->outcome);
}

std::optional<Delta> StateMachine::DeltaFrom(ConfigVersion from) const {
  return state_.history.DeltaFrom(from, state_.configuration);
}

}  // namespace bilberryspool::config
