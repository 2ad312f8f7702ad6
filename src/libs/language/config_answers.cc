#include "libs/language/config_answers.h"

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/config/key_text.h"
#include "libs/config/validation.h"
#include "libs/language/filter.h"
#include "libs/language/printer.h"

namespace bilberryspool::language {
namespace {

using config::Configuration;
using Row = std::vector<Cell>;

Cell LimitCell(const std::optional<std::uint32_t>& limit) {
  if (!limit.has_value()) {
    return std::string("-");
  }
  return std::uint64_t{*limit};
}

Cell NumberCell(std::uint64_t number) {
  return number;
}

// Columns and cells of the tables, one pair of functions per kind of object.
// TableOf() adds the version and the operator of the last change to each row.

std::vector<std::string> ColumnsOf(const config::ServiceSpec*) {
  return {"service", "kind", "path", "idempotent", "deadline_s"};
}
Row CellsOf(const config::ServiceSpec& service) {
  const bool plain = service.kind == config::ServiceKind::kPlain;
  return {service.id.value(), std::string(plain ? "plain" : "engine"),
          plain ? service.path_prefix : "-", service.idempotent,
          ToSeconds(service.deadline)};
}

std::vector<std::string> ColumnsOf(const config::WorkspaceSpec*) {
  return {"workspace", "requests", "concurrent", "tokens",
          "weight",    "priority", "credential"};
}
Row CellsOf(const config::WorkspaceSpec& workspace) {
  return {workspace.id.value(),
          LimitCell(workspace.requests_per_second),
          LimitCell(workspace.concurrent_requests),
          LimitCell(workspace.tokens_per_second),
          NumberCell(workspace.weight),
          workspace.default_priority.has_value()
              ? workspace.default_priority->value()
              : "-",
          workspace.credential_hash.has_value()};
}

std::vector<std::string> ColumnsOf(const config::PrioritySpec*) {
  return {"priority", "level"};
}
Row CellsOf(const config::PrioritySpec& priority) {
  return {priority.name.value(), NumberCell(priority.level)};
}

std::vector<std::string> ColumnsOf(const config::GroupSpec*) {
  return {"group",   "service",     "ranks",           "layers",
          "experts", "skew_weight", "rebalance_weight"};
}
Row CellsOf(const config::GroupSpec& group) {
  return {group.id.value(),          group.service.value(),
          NumberCell(group.ranks),   NumberCell(group.layers),
          NumberCell(group.experts), group.skew_weight,
          group.rebalance_weight};
}

std::vector<std::string> ColumnsOf(const config::PlacementSpec*) {
  return {"service", "targets"};
}
Row CellsOf(const config::PlacementSpec& placement) {
  return {placement.service.value(), config::ToString(placement.targets)};
}

std::vector<std::string> ColumnsOf(const config::DrainSpec*) {
  return {"targets"};
}
Row CellsOf(const config::DrainSpec& drain) {
  return {config::ToString(drain.targets)};
}

std::vector<std::string> ColumnsOf(const config::PinSpec*) {
  return {"group", "layer", "expert", "rank"};
}
Row CellsOf(const config::PinSpec& pin) {
  return {pin.expert.group.value(), NumberCell(pin.expert.layer),
          NumberCell(pin.expert.expert.value()), NumberCell(pin.rank.value())};
}

std::vector<std::string> ColumnsOf(const config::MoveSpec*) {
  return {"group", "layer", "expert", "from", "to"};
}
Row CellsOf(const config::MoveSpec& move) {
  return {move.expert.group.value(), NumberCell(move.expert.layer),
          NumberCell(move.expert.expert.value()), NumberCell(move.from.value()),
          NumberCell(move.to.value())};
}

const char* StandingWord(config::MemberStanding standing) {
  switch (standing) {
    case config::MemberStanding::kVoter:
      return "voter";
    case config::MemberStanding::kLearner:
      return "learner";
    case config::MemberStanding::kLeaving:
      return "leaving";
  }
  return "";
}

std::vector<std::string> ColumnsOf(const config::ControlMemberSpec*) {
  return {"member", "address", "domain", "standing"};
}
Row CellsOf(const config::ControlMemberSpec& member) {
  return {member.node.value(), member.address, member.domain.value(),
          std::string(StandingWord(member.standing))};
}

std::vector<std::string> ColumnsOf(const config::LeaseSpec*) {
  return {"group", "holder", "token"};
}
Row CellsOf(const config::LeaseSpec& lease) {
  return {lease.group.value(), lease.holder.value(),
          NumberCell(lease.token.value())};
}

template <typename Spec>
AnswerTable TableOf(const Configuration& configuration) {
  const Spec* kind = nullptr;
  AnswerTable table{ColumnsOf(kind), {}};
  table.columns.insert(table.columns.end(), {"version", "by"});
  for (const auto& [key, entry] : configuration.table<Spec>()) {
    Row row = CellsOf(entry.spec);
    row.emplace_back(entry.modified_at.value());
    row.emplace_back(entry.modified_by.value());
    table.rows.push_back(std::move(row));
  }
  return table;
}

// All known settings, including those with their default value.
AnswerTable SettingsTable(const Configuration& configuration) {
  AnswerTable table{{"setting", "value", "default"}, {}};
  for (const config::KnownSetting& known : config::kKnownSettings) {
    table.rows.push_back({std::string(known.name),
                          configuration.setting(known.name),
                          known.default_value});
  }
  return table;
}

AnswerTable VersionTable(const Configuration& configuration) {
  return {{"version", "objects", "digest"},
          {{configuration.version().value(),
            NumberCell(configuration.object_count()),
            std::to_string(configuration.digest().value())}}};
}

// The whole configuration as statements that declare the same objects.
AnswerTable ConfigTable(const Configuration& configuration) {
  AnswerTable table{{"statement"}, {}};
  configuration.ForEachTable([&](const auto& objects) {
    for (const auto& [key, entry] : objects) {
      using Spec = std::decay_t<decltype(entry.spec)>;
      if constexpr (std::is_constructible_v<config::Change,
                                            config::Declare<Spec>>) {
        table.rows.push_back({PrintDeclaration(entry.spec)});
      }
    }
  });
  return table;
}

std::optional<AnswerTable> TableFor(Subject subject,
                                    const Configuration& configuration) {
  switch (subject) {
    case Subject::kConfig:
      return ConfigTable(configuration);
    case Subject::kDrains:
      return TableOf<config::DrainSpec>(configuration);
    case Subject::kGroups:
      return TableOf<config::GroupSpec>(configuration);
    case Subject::kLeases:
      return TableOf<config::LeaseSpec>(configuration);
    case Subject::kMembers:
      return TableOf<config::ControlMemberSpec>(configuration);
    case Subject::kMoves:
      return TableOf<config::MoveSpec>(configuration);
    case Subject::kPins:
      return TableOf<config::PinSpec>(configuration);
    case Subject::kPlacements:
      return TableOf<config::PlacementSpec>(configuration);
    case Subject::kPriorities:
      return TableOf<config::PrioritySpec>(configuration);
    case Subject::kServices:
      return TableOf<config::ServiceSpec>(configuration);
    case Subject::kSettings:
      return SettingsTable(configuration);
    case Subject::kVersion:
      return VersionTable(configuration);
    case Subject::kWorkspaces:
      return TableOf<config::WorkspaceSpec>(configuration);
    case Subject::kDomains:
    case Subject::kTargets:
      return std::nullopt;
  }
  return std::nullopt;
}

// Adds a note such as "service drafter: last changed at version 3 by op" if the
// object exists.
template <typename Spec>
void ExplainObject(const typename Spec::Key& key,
                   const Configuration& configuration,
                   std::vector<std::string>& notes) {
  const auto& table = configuration.table<Spec>();
  const auto found = table.find(key);
  if (found == table.end()) {
    return;
  }
  notes.push_back(config::ObjectNameOf<Spec>(key) +
                  ": last changed at version " +
                  std::to_string(found->second.modified_at.value()) + " by " +
                  found->second.modified_by.value());
}

void ExplainService(const ServiceId& service,
                    const Configuration& configuration,
                    std::vector<std::string>& notes) {
  ExplainObject<config::ServiceSpec>(service, configuration, notes);
  for (const auto& [key, entry] :
       configuration.table<config::PlacementSpec>()) {
    if (key.service != service) {
      continue;
    }
    const bool drained =
        configuration.Find<config::DrainSpec>(key.targets) != nullptr;
    notes.push_back("may run on " + config::ToString(key.targets) +
                    (drained ? ", which is drained" : "") + " (version " +
                    std::to_string(entry.modified_at.value()) + ", by " +
                    entry.modified_by.value() + ")");
  }
  if (!config::ServedServices(configuration).contains(service)) {
    notes.push_back("no target may serve service " + service.value());
  }
}

void ExplainTarget(const TargetId& target,
                   const Configuration& configuration,
                   std::vector<std::string>& notes) {
  ExplainObject<config::TargetSpec>(target, configuration, notes);
  ExplainObject<config::DrainSpec>(target, configuration, notes);
  for (const auto& [key, entry] :
       configuration.table<config::PlacementSpec>()) {
    if (key.targets == config::TargetSelector(target)) {
      ExplainObject<config::PlacementSpec>(key, configuration, notes);
    }
  }
  for (const auto& [id, entry] : configuration.table<config::GroupSpec>()) {
    const auto& members = entry.spec.members;
    if (std::find(members.begin(), members.end(), target) != members.end()) {
      notes.push_back("member of group " + id.value());
    }
  }
}

void ExplainGroup(const GroupId& group,
                  const Configuration& configuration,
                  std::vector<std::string>& notes) {
  ExplainObject<config::GroupSpec>(group, configuration, notes);
  const auto* lease = configuration.Find<config::LeaseSpec>(group);
  if (lease != nullptr) {
    notes.push_back("controlled by \"" + lease->holder.value() +
                    "\" under fencing token " +
                    std::to_string(lease->token.value()));
  }
  for (const auto& [key, entry] : configuration.table<config::MoveSpec>()) {
    if (key.group == group) {
      ExplainObject<config::MoveSpec>(key, configuration, notes);
    }
  }
}

std::string ChangedSinceNote(const config::ChangedSince& change) {
  std::string note = "version " + std::to_string(change.version.value()) +
                     " by " + change.operator_id.value() + " (command " +
                     change.command.value() + ") changed";
  const char* separator = " ";
  for (const std::string& object : change.objects) {
    note += separator + object;
    separator = ", ";
  }
  return note;
}

const char* EffectWord(config::EffectKind kind) {
  switch (kind) {
    case config::EffectKind::kCreated:
      return "create";
    case config::EffectKind::kReplaced:
      return "replace";
    case config::EffectKind::kRemoved:
      return "remove";
  }
  return "";
}

}  // namespace

std::optional<Answer> AnswerShow(const ShowStatement& statement,
                                 const Configuration& configuration) {
  std::optional<AnswerTable> table = TableFor(statement.subject, configuration);
  if (!table.has_value()) {
    return std::nullopt;
  }
  Answer answer{
      AnswerStatus::kDone,
      std::move(table),
      {"as of version " + std::to_string(configuration.version().value())}};
  ApplyFilters(statement.where, answer);
  return answer;
}

std::vector<std::string> ExplainFromConfiguration(
    const WhySubject& about,
    const Configuration& configuration) {
  std::vector<std::string> notes;
  std::visit(
      Overloaded{
          [&](const TargetId& id) { ExplainTarget(id, configuration, notes); },
          [&](const ServiceId& id) {
            ExplainService(id, configuration, notes);
          },
          [&](const GroupId& id) { ExplainGroup(id, configuration, notes); },
          [&](const Workspace& id) {
            ExplainObject<config::WorkspaceSpec>(id, configuration, notes);
          },
          [](const RequestId&) {}},
      about);
  return notes;
}

Answer AnswerOutcome(const config::Outcome& outcome) {
  if (const auto* accepted = std::get_if<config::Accepted>(&outcome)) {
    return {
        AnswerStatus::kDone,
        std::nullopt,
        {"accepted at version " + std::to_string(accepted->version.value())}};
  }
  const auto& refused = std::get<config::Refused>(outcome);
  Answer answer{
      AnswerStatus::kRefused, std::nullopt, {"refused: " + refused.detail}};
  for (const config::ChangedSince& change : refused.changed_since) {
    answer.notes.push_back(ChangedSinceNote(change));
  }
  return answer;
}

Answer AnswerPlan(const config::PlanResult& plan) {
  Answer answer = AnswerOutcome(plan.outcome);
  if (answer.status != AnswerStatus::kDone) {
    answer.notes.front() = "would be " + answer.notes.front();
    return answer;
  }
  answer.notes = {plan.effects.empty() ? "nothing would change"
                                       : "would be accepted"};
  AnswerTable table{{"effect", "object"}, {}};
  for (const config::PlannedEffect& effect : plan.effects) {
    table.rows.push_back({std::string(EffectWord(effect.kind)), effect.object});
  }
  answer.table = std::move(table);
  for (const std::string& warning : plan.warnings) {
    answer.notes.push_back("warning: " + warning);
  }
  return answer;
}

Answer AnswerParseError(const ParseError& error) {
  return {AnswerStatus::kInvalid, std::nullopt, {ToString(error)}};
}

Answer AnswerInForce(const InForce& in_force) {
  const std::size_t reached = in_force.nodes - in_force.lacking.size();
  Answer answer{AnswerStatus::kDone,
                std::nullopt,
                {"version " + std::to_string(in_force.version.value()) +
                 " is in force on " + std::to_string(reached) + " of " +
                 std::to_string(in_force.nodes) + " nodes"}};
  if (in_force.lacking.empty()) {
    return answer;
  }
  AnswerTable table{{"lacking"}, {}};
  for (const NodeId& node : in_force.lacking) {
    table.rows.push_back({node.value()});
  }
  answer.table = std::move(table);
  return answer;
}

}  // namespace bilberryspool::language
