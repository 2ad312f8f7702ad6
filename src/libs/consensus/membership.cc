#include "libs/consensus/membership.h"

#include <set>

#include "libs/base/overloaded.h"

namespace bilberryspool::consensus {
namespace {

bool ContainsId(const std::vector<MemberId>& ids, const MemberId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void EraseLearner(Membership& membership, const MemberId& id) {
  std::erase_if(membership.learners,
                [&](const Learner& learner) { return learner.id == id; });
}

bool NodeIsMember(const Membership& membership, const NodeId& node) {
  for (const MemberId& id : membership.AllMembers()) {
    if (id.node == node) {
      return true;
    }
  }
  return false;
}

bool HasPendingReplacement(const Membership& membership) {
  for (const Learner& learner : membership.learners) {
    if (learner.replaces) {
      return true;
    }
  }
  return false;
}

using Result = std::variant<Membership, RefusalReason>;

Result WithLearner(const Membership& current, const AddLearner& change) {
  if (NodeIsMember(current, change.learner.node)) {
    return RefusalReason::kAlreadyMember;
  }
  Membership next = current;
  next.learners.push_back({change.learner, std::nullopt});
  return next;
}

Result WithPromotion(const Membership& current, const PromoteLearner& change) {
  const Learner* learner = current.FindLearner(change.learner);
  if (learner == nullptr) {
    return RefusalReason::kUnknownMember;
  }
  if (learner->replaces) {
    return RefusalReason::kChangeInProgress;
  }
  Membership next = current;
  next.outgoing = current.voters;
  EraseLearner(next, change.learner);
  next.voters.push_back(change.learner);
  return next;
}

Result WithReplacement(const Membership& current, const ReplaceVoter& change) {
  if (!ContainsId(current.voters, change.old)) {
    return RefusalReason::kUnknownMember;
  }
  if (HasPendingReplacement(current)) {
    return RefusalReason::kChangeInProgress;
  }
  // The replacement may be the same node with a new folder.
  const bool same_node = change.old.node == change.replacement.node;
  const bool is_taken = NodeIsMember(current, change.replacement.node);
  if (change.old == change.replacement || (is_taken && !same_node)) {
    return RefusalReason::kAlreadyMember;
  }
  Membership next = current;
  next.learners.push_back({change.replacement, change.old});
  return next;
}

Result WithoutMember(const Membership& current, const RemoveMember& change) {
  Membership next = current;
  if (current.FindLearner(change.member) != nullptr) {
    EraseLearner(next, change.member);
    return next;
  }
  if (!ContainsId(current.voters, change.member)) {
    return RefusalReason::kUnknownMember;
  }
  if (HasPendingReplacement(current)) {
    return RefusalReason::kChangeInProgress;
  }
  if (current.voters.size() == 1) {
    return RefusalReason::kWouldLoseQuorum;
  }
  next.outgoing = current.voters;
  std::erase(next.voters, change.member);
  return next;
}

}  // namespace

bool Membership::IsVoter(const MemberId& id) const {
  return ContainsId(voters, id) || ContainsId(outgoing, id);
}

const Learner* Membership::FindLearner(const MemberId& id) const {
  for (const Learner& learner : learners) {
    if (learner.id == id) {
      return &learner;
    }
  }
  return nullptr;
}

bool Membership::Contains(const MemberId& id) const {
  return IsVoter(id) || FindLearner(id) != nullptr;
}

std::vector<MemberId> Membership::AllMembers() const {
  std::set<MemberId> all(voters.begin(), voters.end());
  all.insert(outgoing.begin(), outgoing.end());
  for (const Learner& learner : learners) {
    all.insert(learner.id);
  }
  return {all.begin(), all.end()};
}

bool Membership::HasQuorum(
    const std::function<bool(const MemberId&)>& agrees) const {
  const std::function<int(const MemberId&)> value_of = [&](const MemberId& id) {
    return agrees(id) ? 1 : 0;
  };
  return QuorumValue<int>(value_of) == 1;
}

std::variant<Membership, RefusalReason> NextMembership(
    const Membership& current,
    const MembershipChange& change) {
  if (current.is_joint()) {
    return RefusalReason::kChangeInProgress;
  }
  return std::visit(
      Overloaded{
          [&](const AddLearner& it) { return WithLearner(current, it); },
          [&](const PromoteLearner& it) { return WithPromotion(current, it); },
          [&](const ReplaceVoter& it) { return WithReplacement(current, it); },
          [&](const RemoveMember& it) { return WithoutMember(current, it); }},
      change);
}

Membership JointForReplacement(const Membership& current,
                               const Learner& learner) {
  Membership next = current;
  next.outgoing = current.voters;
  EraseLearner(next, learner.id);
  std::replace(next.voters.begin(), next.voters.end(), *learner.replaces,
               learner.id);
  return next;
}

Membership LeaveJoint(const Membership& joint) {
  Membership next = joint;
  next.outgoing.clear();
  return next;
}

}  // namespace bilberryspool::consensus
