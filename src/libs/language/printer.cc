#include "libs/language/printer.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "libs/base/overloaded.h"
#include "libs/config/key_text.h"

namespace bilberryspool::language {
namespace {

constexpr std::uint32_t kMinutesPerHour = 60;

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

// The shortest text that parses to the same number.
std::string PrintDecimal(double number) {
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return {buffer.data(), result.ptr};
}

// Prints a duration in the largest unit (s, ms, us) that is exact.
std::string PrintDuration(Duration duration) {
  const std::int64_t count = duration.count();
  if (count % Seconds(1).count() == 0) {
    return std::to_string(count / Seconds(1).count()) + "s";
  }
  if (count % Milliseconds(1).count() == 0) {
    return std::to_string(count / Milliseconds(1).count()) + "ms";
  }
  return std::to_string(count) + "us";
}

std::string PrintTimeOfDay(std::uint32_t minutes) {
  const auto two_digits = [](std::uint32_t number) {
    return (number < 10 ? "0" : "") + std::to_string(number);
  };
  return two_digits(minutes / kMinutesPerHour) + ":" +
         two_digits(minutes % kMinutesPerHour);
}

std::string PrintExpert(const config::ExpertKey& key) {
  return "group " + config::KeyText(key);
}

std::string PrintRank(RankIndex rank) {
  return "rank " + std::to_string(rank.value());
}

// Returns " word value", or an empty string if there is no value.
std::string PrintOptional(const char* word,
                          const std::optional<std::uint32_t>& value) {
  return value.has_value()
             ? " " + std::string(word) + " " + std::to_string(*value)
             : "";
}

std::string PrintSpec(const config::ServiceSpec& service) {
  const bool plain = service.kind == config::ServiceKind::kPlain;
  return "declare service " + service.id.value() +
         (plain ? " plain path " + Quote(service.path_prefix) : " engine") +
         (service.idempotent ? " idempotent" : " non-idempotent") +
         " deadline " + PrintDuration(service.deadline);
}

std::string PrintSpec(const config::WorkspaceSpec& workspace) {
  std::string text = "declare workspace " + workspace.id.value();
  text += PrintOptional("requests", workspace.requests_per_second);
  text += PrintOptional("concurrent", workspace.concurrent_requests);
  text += PrintOptional("tokens", workspace.tokens_per_second);
  text += " weight " + std::to_string(workspace.weight);
  if (workspace.default_priority.has_value()) {
    text += " priority " + workspace.default_priority->value();
  }
  if (workspace.credential_hash.has_value()) {
    text += " credential " + Quote(*workspace.credential_hash);
  }
  return text;
}

std::string PrintSpec(const config::PrioritySpec& priority) {
  return "declare priority " + priority.name.value() + " level " +
         std::to_string(priority.level);
}

std::string PrintSpec(const config::GroupSpec& group) {
  std::string text = "declare group " + group.id.value() + " service " +
                     group.service.value() + " ranks " +
                     std::to_string(group.ranks) + " layers " +
                     std::to_string(group.layers) + " experts " +
                     std::to_string(group.experts);
  std::string separator = " members ";
  for (const TargetId& member : group.members) {
    text += separator + member.value();
    separator = ",";
  }
  if (group.members.empty()) {
    text += " on " + config::ToString(group.targets);
  }
  text += " skew-weight " + PrintDecimal(group.skew_weight);
  text += " rebalance-weight " + PrintDecimal(group.rebalance_weight);
  for (const config::QuietWindow& window : group.quiet_windows) {
    text += " quiet " + PrintTimeOfDay(window.start) + "-" +
            PrintTimeOfDay(window.end);
  }
  return text;
}

std::string PrintSpec(const config::TargetSpec& target) {
  return "declare target " + target.id.value() + " fencing " +
         (target.checks_fencing ? "yes" : "no");
}

std::string PrintSpec(const config::PlacementSpec& placement) {
  return "allow service " + config::KeyText(placement.key());
}

std::string PrintSpec(const config::DrainSpec& drain) {
  return "drain " + config::ToString(drain.targets);
}

std::string PrintSpec(const config::PinSpec& pin) {
  return "pin " + PrintExpert(pin.expert) + " to " + PrintRank(pin.rank);
}

std::string PrintSpec(const config::ForbidSpec& forbid) {
  return "forbid " + PrintExpert(forbid.expert) + " on " +
         PrintRank(forbid.rank);
}

std::string PrintSpec(const config::MoveSpec& move) {
  return "move " + PrintExpert(move.expert) + " from " + PrintRank(move.from) +
         " to " + PrintRank(move.to);
}

std::string PrintSpec(const config::SettingSpec& setting) {
  return "set " + setting.name.value() + " " + std::to_string(setting.value);
}

// The words of a removal that precede the object's key.
template <typename Spec>
std::string RemovalWords() {
  return std::string("remove ") + Spec::kKind + " ";
}
template <>
std::string RemovalWords<config::PlacementSpec>() {
  return "deny service ";
}
template <>
std::string RemovalWords<config::DrainSpec>() {
  return "undrain ";
}
template <>
std::string RemovalWords<config::PinSpec>() {
  return "unpin group ";
}
template <>
std::string RemovalWords<config::ForbidSpec>() {
  return "permit group ";
}
template <>
std::string RemovalWords<config::MoveSpec>() {
  return "cancel move group ";
}
template <>
std::string RemovalWords<config::SettingSpec>() {
  return "unset ";
}

std::string PrintChanges(const ChangeStatement& statement) {
  std::string text;
  for (const config::Change& change : statement.changes) {
    text += (text.empty() ? "" : "; ") + Print(change);
  }
  if (statement.expected.has_value()) {
    const bool whole =
        statement.expected->scope == config::CompareScope::kConfiguration;
    text += (whole ? " at version " : " since version ") +
            std::to_string(statement.expected->version.value());
  }
  if (statement.id.has_value()) {
    text += " as " + Quote(statement.id->value());
  }
  return text;
}

std::string PrintShow(const ShowStatement& statement) {
  std::string text = "show ";
  for (const SubjectWord& word : kSubjectWords) {
    text += word.subject == statement.subject ? word.word : "";
  }
  const char* separator = " where ";
  for (const Filter& filter : statement.where) {
    text += separator + filter.column;
    for (const ComparisonSign& sign : kComparisonSigns) {
      text += sign.comparison == filter.comparison
                  ? std::string(" ") + sign.sign + " "
                  : "";
    }
    text += Quote(filter.value);
    separator = " and ";
  }
  return text;
}

std::string PrintWhy(const WhySubject& about) {
  return std::visit(
      Overloaded{
          [](const TargetId& id) { return "target " + id.value(); },
          [](const ServiceId& id) { return "service " + id.value(); },
          [](const GroupId& id) { return "group " + id.value(); },
          [](const Workspace& id) { return "workspace " + id.value(); },
          [](const RequestId& id) { return "request " + Quote(id.value()); }},
      about);
}

}  // namespace

std::string Print(const config::Change& change) {
  return std::visit(
      Overloaded{
          []<typename Spec>(const config::Declare<Spec>& typed) {
            return PrintSpec(typed.spec);
          },
          []<typename Spec>(const config::Remove<Spec>& typed) {
            return RemovalWords<Spec>() + config::KeyText(typed.key);
          },
          [](const config::ReplaceControlMember& typed) {
            return "replace member " + typed.outgoing.value() + " with " +
                   typed.incoming.value() + " at " + typed.address +
                   " in domain " + typed.domain.value();
          },
          [](const config::CancelReplacement& typed) {
            return "cancel replacement of member " + typed.outgoing.value();
          },
          [](const config::ObserveControlMembers&) {
            return std::string("(control members observed)");
          },
          [](const config::GrantLease& typed) {
            return "(lease of group " + typed.group.value() + " granted to " +
                   typed.holder.value() + ")";
          },
          [](const config::ReleaseLease& typed) {
            return "(lease of group " + typed.group.value() + " released)";
          },
          [](const config::RecordMap& typed) {
            return "(map " + std::to_string(typed.map.version.value()) +
                   " of group " + typed.map.group.value() + " recorded)";
          }},
      change);
}

std::string Print(const Statement& statement) {
  return std::visit(
      Overloaded{
          [](const ChangeStatement& typed) { return PrintChanges(typed); },
          [](const PlanStatement& typed) {
            return "plan " + PrintChanges(typed.change);
          },
          [](const WaitStatement& typed) {
            return "wait version " + std::to_string(typed.version.value()) +
                   " timeout " + PrintDuration(typed.timeout);
          },
          [](const ShowStatement& typed) { return PrintShow(typed); },
          [](const ShowRequestStatement& typed) {
            return "show request " + Quote(typed.id.value());
          },
          [](const WhyStatement& typed) {
            return "why " + PrintWhy(typed.about);
          },
          [](const HelpStatement&) { return std::string("help"); }},
      statement);
}

}  // namespace bilberryspool::language
