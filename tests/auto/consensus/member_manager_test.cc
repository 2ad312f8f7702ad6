// Tests which membership change the leader proposes by itself.

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
const MemberId kOtherNewcomer = Member("e", 5);

constexpr TimePoint kStart = TimeAt(Seconds(100));

// Status of a leader of three voters that have all responded at `now`.
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
  // Modifies the healthy status at `now`, which is 2.5 s after the first call
  // to Next().
  void (*modify)(MembershipStatus& status, TimePoint now);
  const char* expected;
};

constexpr Case kCases[] = {
    {"all voters are healthy", [](MembershipStatus&, TimePoint) {}, "none"},
    {"a voter returns with a new folder",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kThirdNewFolder.node] = kThirdNewFolder;
     },
     "replace c3 by c33"},
    {"a new node while all voters respond",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kNewcomer.node] = kNewcomer;
     },
     "none"},
    {"a new node and a voter that stopped responding",
     [](MembershipStatus& status, TimePoint now) {
       status.awaiting[kNewcomer.node] = kNewcomer;
       status.last_responses[kThird] = now - Milliseconds(2400);
     },
     "replace c3 by d4"},
    {"a new node and a voter that never responded to this leader",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kNewcomer.node] = kNewcomer;
       status.last_responses.erase(kThird);
     },
     "replace c3 by d4"},
    {"a new node while there are too few voters",
     [](MembershipStatus& status, TimePoint) {
       status.awaiting[kNewcomer.node] = kNewcomer;
       status.membership.voters = {kLeader, kFollower};
     },
     "add d4"},
    {"a learner while there are too few voters",
     [](MembershipStatus& status, TimePoint now) {
       status.membership.voters = {kLeader, kFollower};
       status.membership.learners = {{kNewcomer, std::nullopt}};
       status.last_responses[kNewcomer] = now;
     },
     "promote d4"},
    {"a learner whose node has a newer folder",
     [](MembershipStatus& status, TimePoint now) {
       status.membership.learners = {{kNewcomer, kThird}};
       status.last_responses[kNewcomer] = now;
       status.awaiting[kNewcomer.node] = Member("d", 44);
     },
     "remove d4"},
    {"a learner that is no longer wanted",
     [](MembershipStatus& status, TimePoint now) {
       status.membership.learners = {{kNewcomer, std::nullopt}};
       status.last_responses[kNewcomer] = now;
     },
     "remove d4"},
    {"a joint change in progress",
     [](MembershipStatus& status, TimePoint) {
       status.membership.outgoing = {kLeader, kFollower, kThird};
       status.awaiting[kThirdNewFolder.node] = kThirdNewFolder;
     },
     "none"},
};

TEST_CASE("the next membership change for each status") {
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

// Guards against a replacement VM that never gets a vote, so that the control
// group keeps two live folders of three and loses its majority, and with it all
// configuration changes, with the next disk. A leader that has led for longer
// than the learner timeout adds the new folder as a learner, and 0.2 s later,
// before its first response, removes it as dead; this repeats forever if the
// silence of a member counts from the start of the leadership term.
TEST_CASE("a learner that was just added does not count as unresponsive") {
  MemberManager manager{MemberManagerOptions{}};
  manager.Next(HealthyStatus(kStart), kStart);
  const TimePoint added = kStart + Seconds(20);
  MembershipStatus status = HealthyStatus(added);
  status.membership.learners = {{kNewcomer, kThird}};
  CHECK(Describe(manager.Next(status, added)) == "none");
  CHECK(Describe(manager.Next(status, added + Milliseconds(200))) == "none");
  // A learner that never responds is removed after the timeout, so that it does
  // not block other changes.
  CHECK(Describe(manager.Next(status, added + Seconds(7))) == "remove d4");
}

// Guards against a learner that is gone, or that answers but never catches up,
// as one whose disk hangs, and that keeps every other node from being admitted.
TEST_CASE("a learner that does not become a voter makes way for another node") {
  struct Row {
    const char* name;
    Duration after;  // since it became a learner
    bool is_answering;
    bool does_other_ask;
    const char* expected;
  };
  constexpr Row kRows[] = {
      {"silent for a moment", Milliseconds(1900), false, true, "none"},
      {"silent", Milliseconds(2400), false, true, "remove d4"},
      {"silent, no other asks", Milliseconds(2400), false, false, "none"},
      {"silent for long", Seconds(7), false, false, "remove d4"},
      {"answers", Milliseconds(2400), true, true, "none"},
      {"does not catch up", Seconds(7), true, true, "remove d4"},
      {"does not catch up, no other asks", Seconds(7), true, false, "none"},
  };
  for (const Row& row : kRows) {
    CAPTURE(row.name);
    MemberManager manager{MemberManagerOptions{}};
    MembershipStatus status = HealthyStatus(kStart);
    status.membership.learners = {{kNewcomer, kThird}};
    status.last_responses[kNewcomer] = kStart;
    CHECK(Describe(manager.Next(status, kStart)) == "none");
    const TimePoint now = kStart + row.after;
    if (row.is_answering) {
      status.last_responses[kNewcomer] = now;
    }
    if (row.does_other_ask) {
      status.awaiting[kOtherNewcomer.node] = kOtherNewcomer;
    }
    CHECK(Describe(manager.Next(status, now)) == row.expected);
  }
}

// Guards against a node that asks but can't be reached, and that is tried
// before every other node each time.
TEST_CASE("nodes that ask are tried in turn") {
  MemberManager manager{MemberManagerOptions{}};
  manager.Next(HealthyStatus(kStart), kStart);
  const auto next_at = [&](Duration after) {
    const TimePoint now = kStart + after;
    MembershipStatus status = HealthyStatus(now);
    status.last_responses[kThird] = kStart;
    status.awaiting[kNewcomer.node] = kNewcomer;
    status.awaiting[kOtherNewcomer.node] = kOtherNewcomer;
    return Describe(manager.Next(status, now));
  };
  CHECK(next_at(Seconds(3)) == "replace c3 by d4");
  CHECK(next_at(Seconds(6)) == "replace c3 by e5");
  CHECK(next_at(Seconds(9)) == "replace c3 by d4");
}

}  // namespace
}  // namespace bilberryspool::consensus
