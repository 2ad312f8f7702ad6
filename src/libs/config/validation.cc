#include "libs/config/validation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "libs/config/key_text.h"

namespace bilberryspool::config {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxTextLength = 256;
constexpr std::size_t kMaxObjectsPerKind = 20000;
constexpr std::uint32_t kMaxWeight = 1000;
constexpr std::uint32_t kMaxRanks = 1024;
constexpr std::uint32_t kMaxLayers = 1024;
constexpr std::uint32_t kMaxExperts = 4096;
constexpr std::uint32_t kMinutesPerDay = 24 * 60;
constexpr std::size_t kMaxQuietWindows = 16;
constexpr std::size_t kMaxControlMembers = 19;
constexpr double kMaxPolicyWeight = 1e6;
constexpr Duration kMaxDeadline = Seconds(3600);

bool IsNameCharacter(char character) {
  const bool letter = (character >= 'a' && character <= 'z') ||
                      (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit ||
         std::string_view("._-/:").find(character) != std::string_view::npos;
}

// Whether free text can be quoted: printable ASCII without blanks and double
// quotes.
bool IsValidText(std::string_view text) {
  return text.size() <= kMaxTextLength &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character < '\x7f' && character != '"';
         });
}

// Identifies the validated object in error messages. The text is built only for
// an error, because every command validates all objects.
struct ObjectLabel {
  const char* kind;
  std::string_view name;

  std::string Text() const {
    return std::string(kind) + (name.empty() ? "" : " ") + std::string(name);
  }
};

// Validates one configuration; stops at the first error.
class Validator {
 public:
  explicit Validator(const Configuration& configuration)
      : configuration_(configuration) {}

  std::optional<Refused> Run() {
    configuration_.ForEachTable([this](const auto& table) {
      if (table.size() > kMaxObjectsPerKind) {
        Fail(RefusalReason::kOutOfRange, "too many objects of one kind");
      }
      for (const auto& [key, entry] : table) {
        if (refusal_.has_value()) {
          return;
        }
        Check(entry.spec);
      }
    });
    CheckControlMembers();
    return std::move(refusal_);
  }

 private:
  // Only the first error is reported.
  void Fail(RefusalReason reason, std::string detail) {
    if (!refusal_.has_value()) {
      refusal_ = Refused{reason, std::move(detail), {}};
    }
  }

  void Require(bool holds,
               RefusalReason reason,
               const ObjectLabel& label,
               const char* what) {
    if (!holds) {
      Fail(reason, label.Text() + ": " + what);
    }
  }

  template <typename Spec>
  void RequireObject(const typename Spec::Key& key, const ObjectLabel& label) {
    if (configuration_.Find<Spec>(key) == nullptr) {
      Fail(RefusalReason::kUnknownObject, label.Text() + " refers to " +
                                              ObjectNameOf<Spec>(key) +
                                              ", which isn't there");
    }
  }

  void RequireName(const std::string& name) {
    if (!IsValidName(name)) {
      Fail(RefusalReason::kMalformed,
           "a name has 1 to 128 letters, digits or ._-/: \"" +
               name.substr(0, kMaxNameLength) + "\" does not");
    }
  }

  // Requires `number` to be in [min_value, max_value].
  void RequireRange(std::uint64_t number,
                    std::uint64_t min_value,
                    std::uint64_t max_value,
                    const ObjectLabel& label,
                    const char* what) {
    if (number < min_value || number > max_value) {
      Fail(RefusalReason::kOutOfRange,
           label.Text() + ": " + what + " is " + std::to_string(number) +
               ", accepted are " + std::to_string(min_value) + " to " +
               std::to_string(max_value));
    }
  }

  void CheckSelector(const TargetSelector& selector) {
    if (const auto* target = std::get_if<TargetId>(&selector)) {
      RequireName(target->value());
    }
    if (const auto* domain = std::get_if<FailureDomain>(&selector)) {
      RequireName(domain->value());
    }
  }

  void Check(const ServiceSpec& service) {
    const ObjectLabel label{"service", service.id.value()};
    RequireName(service.id.value());
    Require(service.deadline > Duration(0) && service.deadline <= kMaxDeadline,
            RefusalReason::kOutOfRange, label,
            "the deadline must be above 0 and at most one hour");
    if (service.kind == ServiceKind::kEngine) {
      Require(service.path_prefix.empty(), RefusalReason::kConflict, label,
              "only a plain service has a path");
      return;
    }
    Require(service.path_prefix.size() > 1 &&
                service.path_prefix.front() == '/' &&
                IsValidText(service.path_prefix),
            RefusalReason::kMalformed, label,
            "a plain service needs a path that begins with /");
    const auto taken = paths_.emplace(service.path_prefix, service.id);
    if (!taken.second) {
      Fail(RefusalReason::kConflict,
           label.Text() + ": the path " + service.path_prefix +
               " is that of service " + taken.first->second.value());
    }
  }

  void Check(const WorkspaceSpec& workspace) {
    const ObjectLabel label{"workspace", workspace.id.value()};
    RequireName(workspace.id.value());
    RequireRange(workspace.weight, 1, kMaxWeight, label, "weight");
    for (const auto& limit :
         {workspace.requests_per_second, workspace.concurrent_requests,
          workspace.tokens_per_second}) {
      Require(limit != 0U, RefusalReason::kOutOfRange, label,
              "a limit of 0 would refuse everything");
    }
    if (workspace.default_priority.has_value()) {
      RequireObject<PrioritySpec>(*workspace.default_priority, label);
    }
    if (workspace.credential_hash.has_value()) {
      Require(!workspace.credential_hash->empty() &&
                  IsValidText(*workspace.credential_hash),
              RefusalReason::kMalformed, label, "not a credential hash");
    }
  }

  void Check(const PrioritySpec& priority) {
    RequireName(priority.name.value());
    const auto taken = levels_.emplace(priority.level, priority.name);
    if (!taken.second) {
      Fail(RefusalReason::kConflict,
           "priorities " + taken.first->second.value() + " and " +
               priority.name.value() + " have the same level");
    }
  }

  void Check(const GroupSpec& group) {
    const ObjectLabel label{"group", group.id.value()};
    RequireName(group.id.value());
    CheckSelector(group.targets);
    const ServiceSpec* service =
        configuration_.Find<ServiceSpec>(group.service);
    RequireObject<ServiceSpec>(group.service, label);
    Require(service == nullptr || service->kind == ServiceKind::kEngine,
            RefusalReason::kConflict, label, "its service is no engine");
    RequireRange(group.ranks, 1, kMaxRanks, label, "ranks");
    RequireRange(group.layers, 1, kMaxLayers, label, "layers");
    RequireRange(group.experts, 1, kMaxExperts, label, "experts");
    CheckPolicy(group, label);
    CheckGroupMembers(group, label);
  }

  void CheckPolicy(const GroupSpec& group, const ObjectLabel& label) {
    for (const double weight : {group.skew_weight, group.rebalance_weight}) {
      Require(
          std::isfinite(weight) && weight >= 0.0 && weight <= kMaxPolicyWeight,
          RefusalReason::kOutOfRange, label, "a weight must be 0 to 1000000");
    }
    RequireRange(group.quiet_windows.size(), 0, kMaxQuietWindows, label,
                 "quiet windows");
    for (const QuietWindow& window : group.quiet_windows) {
      Require(window.start < kMinutesPerDay && window.end < kMinutesPerDay &&
                  window.start != window.end,
              RefusalReason::kOutOfRange, label,
              "a quiet window needs two different times of a day");
    }
  }

  void CheckGroupMembers(const GroupSpec& group, const ObjectLabel& label) {
    if (group.members.empty()) {
      return;
    }
    Require(group.members.size() >= group.ranks, RefusalReason::kConflict,
            label, "it has more ranks than members");
    RequireRange(group.members.size(), 1, 2ULL * kMaxRanks, label, "members");
    for (const TargetId& member : group.members) {
      RequireName(member.value());
      const auto taken = members_.emplace(member, group.id);
      if (!taken.second) {
        Fail(RefusalReason::kConflict, label.Text() + ": target " +
                                           member.value() +
                                           " is already a member of group " +
                                           taken.first->second.value());
      }
    }
  }

  void Check(const PlacementSpec& placement) {
    CheckSelector(placement.targets);
    RequireObject<ServiceSpec>(placement.service, {"a placement", ""});
  }

  void Check(const TargetSpec& target) { RequireName(target.id.value()); }

  void Check(const DrainSpec& drain) {
    CheckSelector(drain.targets);
    Require(!std::holds_alternative<AnyTarget>(drain.targets),
            RefusalReason::kConflict, {"a drain", ""},
            "not everything can be drained at once");
  }

  // Checks that the expert exists in its group. Returns the group, or null if
  // it doesn't exist or has no experts.
  const GroupSpec* CheckExpert(const ExpertKey& expert,
                               const ObjectLabel& label) {
    RequireObject<GroupSpec>(expert.group, label);
    const GroupSpec* group = configuration_.Find<GroupSpec>(expert.group);
    if (group == nullptr || group->layers == 0 || group->experts == 0) {
      return nullptr;
    }
    RequireRange(expert.layer, 0, group->layers - 1, label, "layer");
    RequireRange(expert.expert.value(), 0, group->experts - 1, label, "expert");
    return group;
  }

  void CheckRank(const GroupSpec* group,
                 RankIndex rank,
                 const ObjectLabel& label) {
    if (group != nullptr && group->ranks > 0) {
      RequireRange(rank.value(), 0, group->ranks - 1, label, "rank");
    }
  }

  void Check(const PinSpec& pin) {
    const std::string name = KeyText(pin.key());
    const ObjectLabel label{PinSpec::kKind, name};
    CheckRank(CheckExpert(pin.expert, label), pin.rank, label);
    Require(configuration_.Find<ForbidSpec>({pin.expert, pin.rank}) == nullptr,
            RefusalReason::kConflict, label, "the expert is kept from there");
  }

  void Check(const ForbidSpec& forbid) {
    const std::string name = KeyText(forbid.key());
    const ObjectLabel label{ForbidSpec::kKind, name};
    CheckRank(CheckExpert(forbid.expert, label), forbid.rank, label);
  }

  void Check(const MoveSpec& move) {
    const std::string name = KeyText(move.key());
    const ObjectLabel label{MoveSpec::kKind, name};
    const GroupSpec* group = CheckExpert(move.expert, label);
    CheckRank(group, move.from, label);
    CheckRank(group, move.to, label);
    Require(move.from != move.to, RefusalReason::kConflict, label,
            "both ranks are the same");
    Require(configuration_.Find<ForbidSpec>({move.expert, move.to}) == nullptr,
            RefusalReason::kConflict, label, "the expert is kept from there");
    const PinSpec* pin = configuration_.Find<PinSpec>(move.expert);
    Require(pin == nullptr || pin->rank == move.to, RefusalReason::kConflict,
            label, "the expert is pinned elsewhere");
  }

  void Check(const SettingSpec& setting) {
    const KnownSetting* known = FindKnownSetting(setting.name);
    if (known == nullptr) {
      Fail(RefusalReason::kUnknownObject,
           "there is no setting " + setting.name.value());
      return;
    }
    RequireRange(setting.value, known->min_value, known->max_value,
                 {"setting", setting.name.value()}, "its value");
  }

  void Check(const ControlMemberSpec& member) {
    RequireName(member.node.value());
    RequireName(member.address);
    RequireName(member.domain.value());
    const auto taken = addresses_.emplace(member.address, member.node);
    if (!taken.second) {
      Fail(RefusalReason::kConflict, "members " + taken.first->second.value() +
                                         " and " + member.node.value() +
                                         " have the same address");
    }
  }

  void Check(const LeaseSpec& lease) {
    RequireObject<GroupSpec>(lease.group, {"lease", lease.group.value()});
  }

  void Check(const MapSpec& map) {
    const std::size_t experts =
        static_cast<std::size_t>(map.layers) * map.experts;
    if (map.chosen.size() != experts || map.in_force.size() != experts) {
      Fail(RefusalReason::kOutOfRange,
           "map " + map.group.value() + " is not of its own shape");
    }
  }

  void CheckControlMembers() {
    RequireRange(configuration_.table<ControlMemberSpec>().size(), 0,
                 kMaxControlMembers, {"control", ""}, "the number of members");
  }

  const Configuration& configuration_;
  std::optional<Refused> refusal_;
  std::map<std::string, ServiceId> paths_;
  std::map<std::uint32_t, PriorityName> levels_;
  std::map<TargetId, GroupId> members_;
  std::map<std::string, NodeId> addresses_;
};

bool IsDrained(const Configuration& configuration,
               const TargetSelector& targets) {
  return configuration.Find<DrainSpec>(targets) != nullptr;
}

}  // namespace

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), &IsNameCharacter);
}

std::optional<Refused> Validate(const Configuration& configuration) {
  return Validator(configuration).Run();
}

std::set<ServiceId> ServedServices(const Configuration& configuration) {
  std::set<ServiceId> served;
  for (const auto& [key, placement] : configuration.table<PlacementSpec>()) {
    if (!IsDrained(configuration, key.targets)) {
      served.insert(key.service);
    }
  }
  return served;
}

std::vector<std::string> Warnings(const Configuration& configuration) {
  std::vector<std::string> warnings;
  const std::set<ServiceId> served = ServedServices(configuration);
  for (const auto& [id, service] : configuration.table<ServiceSpec>()) {
    if (!served.contains(id)) {
      warnings.push_back("no target may serve service " + id.value());
    }
  }
  for (const auto& [id, entry] : configuration.table<GroupSpec>()) {
    const auto& members = entry.spec.members;
    const auto left = std::count_if(members.begin(), members.end(),
                                    [&](const TargetId& member) {
                                      return !IsDrained(configuration, member);
                                    });
    if (!members.empty() && left < entry.spec.ranks) {
      warnings.push_back("group " + id.value() + " has " +
                         std::to_string(left) + " members left for " +
                         std::to_string(entry.spec.ranks) + " ranks");
    }
  }
  return warnings;
}

}  // namespace bilberryspool::config
