// The membership of the replicated log: voters and non-voting learners.
//
// A change of voters goes through a joint membership, in which every decision
// needs a majority of the old and of the new voters. A replacement therefore
// never needs more live replicas than the membership before it, and no two
// successive memberships can decide without a common voter.

#ifndef LIBS_CONSENSUS_MEMBERSHIP_H_
#define LIBS_CONSENSUS_MEMBERSHIP_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "libs/consensus/member_id.h"

namespace bilberryspool::consensus {

// A member that receives the log without voting.
struct Learner {
  MemberId id;
  // The voter whose place it takes as soon as it has caught up.
  std::optional<MemberId> replaces;

  bool operator==(const Learner&) const = default;
};

// Adds a member that receives the log without voting.
struct AddLearner {
  MemberId learner;
};
// Makes a learner that has caught up a voter.
struct PromoteLearner {
  MemberId learner;
};
// Adds `replacement` as a learner and, once it has caught up, gives it the
// vote of `old` in one joint change.
struct ReplaceVoter {
  MemberId old;
  MemberId replacement;
};
// Removes a learner or a voter.
struct RemoveMember {
  MemberId member;
};
using MembershipChange =
    std::variant<AddLearner, PromoteLearner, ReplaceVoter, RemoveMember>;

// Why a change of membership, or a leadership transfer, was refused.
enum class RefusalReason {
  // An earlier change is not yet committed, or a replacement is in progress.
  kChangeInProgress,
  // The leader has not yet committed an entry of its own term.
  kLeaderNotReady,
  kUnknownMember,
  kAlreadyMember,
  kNotCaughtUp,
  // Not enough of the resulting voters have responded recently.
  kWouldLoseQuorum,
};

struct Membership {
  std::vector<MemberId> voters;
  // The previous voters while a change is in progress; empty otherwise.
  std::vector<MemberId> outgoing;
  std::vector<Learner> learners;

  bool operator==(const Membership&) const = default;

  bool is_joint() const { return !outgoing.empty(); }
  bool IsVoter(const MemberId& id) const;
  const Learner* FindLearner(const MemberId& id) const;
  bool Contains(const MemberId& id) const;
  // Every member once.
  std::vector<MemberId> AllMembers() const;

  // The largest value that a majority of the voters has reached, where
  // `value_of` returns the value of one voter. In a joint membership both
  // majorities must have reached it. Value{} if there are no voters.
  template <typename Value>
  Value QuorumValue(
      const std::function<Value(const MemberId&)>& value_of) const {
    Value reached = MajorityValue<Value>(voters, value_of);
    if (is_joint()) {
      reached = std::min(reached, MajorityValue<Value>(outgoing, value_of));
    }
    return reached;
  }

  // Whether the members for which `agrees` returns true form a quorum.
  bool HasQuorum(const std::function<bool(const MemberId&)>& agrees) const;

 private:
  template <typename Value>
  static Value MajorityValue(
      const std::vector<MemberId>& ids,
      const std::function<Value(const MemberId&)>& value_of) {
    if (ids.empty()) {
      return Value{};
    }
    std::vector<Value> values;
    values.reserve(ids.size());
    for (const MemberId& id : ids) {
      values.push_back(value_of(id));
    }
    std::sort(values.begin(), values.end(), std::greater<Value>());
    return values[ids.size() / 2];
  }
};

// The membership after `change`, or the reason why it is refused. Changes of
// voters result in a joint membership. The caller checks that the members are
// healthy and caught up.
std::variant<Membership, RefusalReason> NextMembership(
    const Membership& current,
    const MembershipChange& change);
// The joint membership that gives the learner the vote of the voter it
// replaces.
Membership JointForReplacement(const Membership& current,
                               const Learner& learner);
// The membership that ends a joint one.
Membership LeaveJoint(const Membership& joint);

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_MEMBERSHIP_H_
