#include "libs/config/command_execution.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/config/key_text.h"
#include "libs/config/validation.h"

namespace bilberryspool::config::internal {
namespace {

// Executes one command on a configuration and rolls it back on failure.
class Execution {
 public:
  Execution(const Command& command,
            FencingToken latest_token,
            Configuration& configuration)
      : command_(command),
        latest_token_(latest_token),
        configuration_(configuration),
        base_version_(configuration.version()),
        served_before_(ServedServices(configuration)) {}

  std::variant<ExecutionResult, Refused> Run() {
    for (const Change& change : command_.changes) {
      std::visit([this](const auto& typed) { ApplyChange(typed); }, change);
      if (refusal_.has_value()) {
        break;
      }
    }
    if (!refusal_.has_value() && !result_.updates.empty()) {
      refusal_ = Validate(configuration_);
      RequireNoServiceLosesAllTargets();
    }
    std::reverse(result_.undo.begin(), result_.undo.end());
    if (refusal_.has_value()) {
      RollBack();
      return std::move(*refusal_);
    }
    if (!result_.updates.empty()) {
      configuration_.set_version(base_version_.Next());
    }
    return std::move(result_);
  }

 private:
  // Only the first failure is reported.
  void Fail(RefusalReason reason, std::string detail) {
    if (!refusal_.has_value()) {
      refusal_ = Refused{reason, std::move(detail), {}};
    }
  }

  void RollBack() {
    for (const ObjectUpdate& update : result_.undo) {
      configuration_.Apply(update);
    }
  }

  // Creates or replaces an object; does nothing if it already equals `spec`.
  template <typename Spec>
  void PutObject(const Spec& spec) {
    const Spec* present = configuration_.Find<Spec>(spec.key());
    if (present != nullptr && *present == spec) {
      return;
    }
    ApplyUpdate(Update<Spec>{spec.key(), Entry<Spec>{spec, base_version_.Next(),
                                                     command_.operator_id}});
  }

  template <typename Spec>
  void RemoveObject(const typename Spec::Key& key) {
    ApplyUpdate(Update<Spec>{key, std::nullopt});
  }

  void ApplyUpdate(const ObjectUpdate& update) {
    result_.undo.push_back(configuration_.Apply(update));
    result_.updates.push_back(update);
  }

  template <typename Spec>
  void ApplyChange(const Declare<Spec>& change) {
    PutObject(change.spec);
  }

  template <typename Spec>
  void ApplyChange(const Remove<Spec>& change) {
    if (configuration_.Find<Spec>(change.key) == nullptr) {
      Fail(RefusalReason::kUnknownObject,
           "there is no " + ObjectNameOf<Spec>(change.key));
      return;
    }
    RemoveObject<Spec>(change.key);
    if constexpr (std::is_same_v<Spec, GroupSpec>) {
      if (configuration_.Find<LeaseSpec>(change.key) != nullptr) {
        RemoveObject<LeaseSpec>(change.key);
      }
    }
  }

  void ApplyChange(const ReplaceControlMember& change) {
    for (const auto& [node, entry] :
         configuration_.table<ControlMemberSpec>()) {
      if (entry.spec.standing != MemberStanding::kVoter) {
        Fail(RefusalReason::kConflict,
             "the replacement of a control member is still under way: " +
                 node.value());
      }
    }
    const auto* outgoing =
        configuration_.Find<ControlMemberSpec>(change.outgoing);
    if (outgoing == nullptr) {
      Fail(RefusalReason::kUnknownObject,
           "there is no member " + change.outgoing.value());
      return;
    }
    if (configuration_.Find<ControlMemberSpec>(change.incoming) != nullptr) {
      Fail(RefusalReason::kConflict,
           change.incoming.value() + " is a control member already");
      return;
    }
    ControlMemberSpec leaving = *outgoing;
    leaving.standing = MemberStanding::kLeaving;
    PutObject(leaving);
    PutObject(ControlMemberSpec{change.incoming, change.address, change.domain,
                                MemberStanding::kLearner});
  }

  void ApplyChange(const CancelReplacement& change) {
    const auto* outgoing =
        configuration_.Find<ControlMemberSpec>(change.outgoing);
    if (outgoing == nullptr || outgoing->standing != MemberStanding::kLeaving) {
      Fail(RefusalReason::kUnknownObject,
           change.outgoing.value() + " is not being replaced");
      return;
    }
    ControlMemberSpec staying = *outgoing;
    staying.standing = MemberStanding::kVoter;
    PutObject(staying);
    std::vector<NodeId> learners;
    for (const auto& [node, entry] :
         configuration_.table<ControlMemberSpec>()) {
      if (entry.spec.standing == MemberStanding::kLearner) {
        learners.push_back(node);
      }
    }
    for (const NodeId& node : learners) {
      RemoveObject<ControlMemberSpec>(node);
    }
  }

  void ApplyChange(const ObserveControlMembers& change) {
    std::set<NodeId> seen;
    for (const ControlMemberSpec& member : change.members) {
      seen.insert(member.node);
      PutObject(member);
    }
    std::vector<NodeId> gone;
    for (const auto& [node, entry] :
         configuration_.table<ControlMemberSpec>()) {
      if (!seen.contains(node)) {
        gone.push_back(node);
      }
    }
    for (const NodeId& node : gone) {
      RemoveObject<ControlMemberSpec>(node);
    }
  }

  void ApplyChange(const GrantLease& change) {
    const auto* present = configuration_.Find<LeaseSpec>(change.group);
    const FencingToken held =
        present == nullptr ? FencingToken() : present->token;
    if (held != change.previous) {
      Fail(RefusalReason::kLeaseTaken,
           "the token of group " + change.group.value() + " is " +
               std::to_string(held.value()) + ", held by \"" +
               (present == nullptr ? "" : present->holder.value()) + "\"");
      return;
    }
    latest_token_ = latest_token_.Next();
    result_.token = latest_token_;
    PutObject(LeaseSpec{change.group, change.holder, change.incarnation,
                        latest_token_});
  }

  void ApplyChange(const ReleaseLease& change) {
    const auto* present = configuration_.Find<LeaseSpec>(change.group);
    if (present == nullptr || present->token != change.token) {
      Fail(RefusalReason::kLeaseTaken,
           "the lease of group " + change.group.value() + " isn't held so");
      return;
    }
    LeaseSpec released = *present;
    released.holder = NodeId();
    PutObject(released);
  }

  void ApplyChange(const RecordMap& change) {
    const GroupId& group = change.map.group;
    const auto* lease = configuration_.Find<LeaseSpec>(group);
    if (lease == nullptr || lease->token != change.map.token) {
      Fail(RefusalReason::kLeaseTaken,
           "the lease of group " + group.value() + " isn't held so");
      return;
    }
    const auto* present = configuration_.Find<MapSpec>(group);
    if (present != nullptr && present->version >= change.map.version) {
      Fail(RefusalReason::kConflict,
           "the map of group " + group.value() + " has version " +
               std::to_string(present->version.value()) + " already");
      return;
    }
    PutObject(change.map);
  }

  // Refuses a command, such as a drain or a denied placement, after which a
  // service would by accident have no target left.
  void RequireNoServiceLosesAllTargets() {
    const std::set<ServiceId> served = ServedServices(configuration_);
    for (const ServiceId& service : served_before_) {
      if (!served.contains(service) &&
          configuration_.Find<ServiceSpec>(service) != nullptr) {
        Fail(RefusalReason::kNoTargetsLeft,
             "no target would be left that may serve service " +
                 service.value());
      }
    }
  }

  const Command& command_;
  FencingToken latest_token_;
  Configuration& configuration_;
  const ConfigVersion base_version_;
  const std::set<ServiceId> served_before_;
  ExecutionResult result_;
  std::optional<Refused> refusal_;
};

}  // namespace

std::variant<ExecutionResult, Refused> Execute(const Command& command,
                                               FencingToken latest_token,
                                               Configuration& configuration) {
  return Execution(command, latest_token, configuration).Run();
}

std::vector<std::string> TouchedObjects(const Change& change) {
  using Names = std::vector<std::string>;
  return std::visit(
      Overloaded{[]<typename Spec>(const Declare<Spec>& typed) -> Names {
                   return {ObjectNameOf<Spec>(typed.spec.key())};
                 },
                 []<typename Spec>(const Remove<Spec>& typed) -> Names {
                   return {ObjectNameOf<Spec>(typed.key)};
                 },
                 [](const ReplaceControlMember& typed) -> Names {
                   return {ObjectNameOf<ControlMemberSpec>(typed.outgoing),
                           ObjectNameOf<ControlMemberSpec>(typed.incoming)};
                 },
                 [](const CancelReplacement& typed) -> Names {
                   return {ObjectNameOf<ControlMemberSpec>(typed.outgoing)};
                 },
                 [](const ObserveControlMembers& typed) -> Names {
                   Names names;
                   for (const ControlMemberSpec& member : typed.members) {
                     names.push_back(
                         ObjectNameOf<ControlMemberSpec>(member.node));
                   }
                   return names;
                 },
                 [](const GrantLease& typed) -> Names {
                   return {ObjectNameOf<LeaseSpec>(typed.group)};
                 },
                 [](const ReleaseLease& typed) -> Names {
                   return {ObjectNameOf<LeaseSpec>(typed.group)};
                 },
                 [](const RecordMap& typed) -> Names {
                   return {ObjectNameOf<MapSpec>(typed.map.group)};
                 }},
      change);
}

}  // namespace bilberryspool::config::internal
