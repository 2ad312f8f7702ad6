#include "libs/membership/announcer.h"

#include <doctest/doctest.h>

namespace bilberryspool::membership {
namespace {

AnnouncerOptions Options() {
  AnnouncerOptions options;
  options.description.target = TargetId("t");
  options.description.claim.incarnation = Incarnation(5);
  options.seeds = {"a", "b", "c"};
  return options;
}

TimePoint At(int seconds) {
  return TimeAt(Seconds(seconds));
}

std::string HeartbeatTo(const std::vector<AnnouncerAction>& actions) {
  for (const AnnouncerAction& action : actions) {
    if (const auto* send = std::get_if<SendHeartbeat>(&action)) {
      return send->entry;
    }
  }
  return "";
}

TEST_CASE("an unresponsive entry is avoided at the next heartbeat") {
  Announcer announcer(Options(), 1);
  const std::string first =
      HeartbeatTo(announcer.Handle(AnnouncerTick{}, At(2)));
  const std::string second =
      HeartbeatTo(announcer.Handle(AnnouncerTick{}, At(4)));
  CHECK(first != second);
  AnnounceReply reply;
  reply.known = announcer.announcement().claim;
  announcer.Handle(ReplyReceived{second, reply}, At(4));
  CHECK(HeartbeatTo(announcer.Handle(AnnouncerTick{}, At(6))) == second);
}

// A restarted agent was refused forever: the clock of its VM was set back
// during the restart, so its incarnation was lower than before, and entries
// correctly refuse older claims.
TEST_CASE("the incarnation is raised after a clock set back but only once") {
  Announcer announcer(Options(), 1);
  AnnounceReply refusal;
  refusal.superseded = true;
  refusal.known = Claim{Incarnation(9), 1};
  announcer.Handle(ReplyReceived{"a", refusal}, At(2));
  CHECK(announcer.announcement().claim.incarnation == Incarnation(10));
  announcer.Handle(ReplyReceived{"b", refusal}, At(2));  // late duplicate
  CHECK_FALSE(announcer.identity_lost());
  refusal.known = Claim{Incarnation(12), 1};
  announcer.Handle(ReplyReceived{"a", refusal}, At(3));
  CHECK(announcer.identity_lost());
  CHECK(announcer.Handle(AnnouncerTick{}, At(9)).empty());
}

TEST_CASE("leaving is final") {
  Announcer announcer(Options(), 1);
  announcer.Handle(StateChanged{TargetState::kLeaving}, At(2));
  announcer.Handle(StateChanged{TargetState::kServing}, At(3));
  CHECK(announcer.announcement().state == TargetState::kLeaving);
}

}  // namespace
}  // namespace bilberryspool::membership
