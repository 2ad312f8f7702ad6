// Which change of membership the leader asks for by itself.

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>

#include "libs/consensus/member_manager.h"

namespace bilberryspool::consensus {
namespace {

MemberId Member(const std::string& node, std::uint64_t identity) {
  return {NodeId(node), ReplicaIdentity(identity)};
}

const MemberId kLeader = Member("a", 1);
const MemberId kFollower = Member("b", 2);
const MemberId kThird = Member("c", 3);
const MemberId kThirdNewFolder = Member("c", 33);
const MemberId kNewcomer = Member("d", 4);

constexpr TimePoint kStart = TimeAt(Seconds(100));

// A leader of three voters that all answered at `now`.
MembershipStatus HealthyStatus(TimePoint now) {
  MembershipStatus status;
  status.self = kLeader;
  status.membership.voters = {kLeader, kFollower, kThird};
  status.last_responses[kFollower] = now;
  status.last_responses[kThird] = now;
  return status;
}

std::string Describe(const std::optional<MembershipChange>& change) {
  if (!change.has_value()) {
    return "none";
  }
  const auto name = [](const MemberId& id) {
    return id.node.value() + std::to_string(id.identity.value());
  };
  if (const auto* add = std::get_if<AddLearner>(&*change)) {
    return "add " + name(add->learner);
  }
  if (const auto* promote = std::get_if<PromoteLearner>(&*change)) {
    return "promote " + name(promote->learner);
  }
  if (const auto* replace = std::get_if<ReplaceVoter>(&*change)) {
    return "replace " + name(replace->old) + " by " +
           name(replace->replacement);
  }
  return "remove " + name(std::get<RemoveMember>(*change).member);
}

struct Case {
  const char* name;
  // Changes the calm picture of `now`, two seconds and a half after the first
  // look of this leadership.
  void (*modify)(MembershipStatus& status, TimePoint now);
  const char* expected;
};

constexpr Case kCases[] = {
    {"calm", [](MembershipStatus&, TimePoint) {}, "none"},
    {"a folder was lost and is there anew",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kThirdNewFolder.node] = kThirdNewFolder;
     },
     "replace c3 by c33"},
    {"a newcomer while all voters are heard",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kNewcomer.node] = kNewcomer;
     },
     "none"},
    {"a newcomer and a voter that has fallen silent",
     [](MembershipStatus& status, TimePoint now) {
       status.awaiting[kNewcomer.node] = kNewcomer;
       status.last_responses[kThird] = now - Milliseconds(2400);
     },
     "replace c3 by d4"},
    {"a newcomer and a voter that never answered this leader",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kNewcomer.node] = kNewcomer;
       status.last_responses.erase(kThird);
     },
     "replace c3 by d4"},
    {"a newcomer where voters are missing",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kNewcomer.node] = kNewcomer;
       status.membership.voters = {kLeader, kFollower};
     },
     "add d4"},
    {"a learner where voters are missing",
     [](MembershipStatus& status, TimePoint now) {
       status.membership.voters = {kLeader, kFollower};
       status.membership.learners = {{kNewcomer, std::nullopt}};
       status.last_responses[kNewcomer] = now;
     },
     "promote d4"},
    {"a learner that is replaced by a newer folder of its node",
     [](MembershipStatus& status, TimePoint now) {
       status.membership.learners = {{kNewcomer, kThird}};
       status.last_responses[kNewcomer] = now;
       status.awaiting[kNewcomer.node] = Member("d", 44);
     },
     "remove d4"},
    {"a joint change under way",
     [](MembershipStatus& status, TimePoint) {
       status.membership.outgoing = {kLeader, kFollower, kThird};
       status.awaiting[kThirdNewFolder.node] = kThirdNewFolder;
     },
     "none"},
};

TEST_CASE("the change that is due") {
  for (const Case& one : kCases) {
    CAPTURE(one.name);
    MemberManager manager{MemberManagerOptions{}};
    manager.Next(HealthyStatus(kStart), kStart);
    const TimePoint now = kStart + Milliseconds(2500);
    MembershipStatus status = HealthyStatus(now);
    one.modify(status, now);
    CHECK(Describe(manager.Next(status, now)) == one.expected);
  }
}

// Symptom: after a VM of the control group was replaced by one at a new
// address, the group had two live folders of three; the next lost disk left it
// without a majority, and no configuration was accepted any more.
// Sequence: the leader, in charge for more than the learner's patience, adds
// the new folder as a learner; 0.2 s later, before the learner's first answer,
// it looks again, takes it for dead and removes it; this repeats for good.
// Cause: a member that had never answered was counted as unheard since the
// leadership began, not since it was added.
TEST_CASE("a learner that was just added is not taken for a dead one") {
  MemberManager manager{MemberManagerOptions{}};
  manager.Next(HealthyStatus(kStart), kStart);
  const TimePoint added = kStart + Seconds(20);
  MembershipStatus status = HealthyStatus(added);
  status.membership.learners = {{kNewcomer, kThird}};
  CHECK(Describe(manager.Next(status, added)) == "none");
  CHECK(Describe(manager.Next(status, added + Milliseconds(200))) == "none");
  // One that stays dumb is removed in the end, so that it blocks nothing.
  CHECK(Describe(manager.Next(status, added + Seconds(7))) == "remove d4");
}

}  // namespace
}  // namespace bilberryspool::consensus
