#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(50));

TargetAnnouncement MakeAnnouncement(const std::string& target,
                                    std::uint64_t sequence,
                                    Standing standing = Standing::kReady) {
  TargetAnnouncement result;
  result.target = TargetId(target);
  result.service = ServiceId("model");
  result.address = "10.0.0.1:80";
  result.slots = 4;
  result.standing = standing;
  result.sequence = sequence;
  return result;
}

Standing StandingOf(const TargetRegistry& registry, const std::string& target) {
  return registry.records().at(TargetId(target)).announcement.standing;
}

TEST_CASE("only differences that gateways depend on count as changes") {
  TargetRegistry registry{TargetRegistryOptions{}};
  CHECK(registry.Announce(MakeAnnouncement("t", 1), kStart));
  CHECK_FALSE(registry.Announce(MakeAnnouncement("t", 2), kStart));
  TargetAnnouncement moved = MakeAnnouncement("t", 3);
  moved.slots = 8;
  CHECK(registry.Announce(moved, kStart));
  CHECK(registry.ChangedSince(1).size() == 1);
  CHECK(registry.ChangedSince(registry.revision()).empty());
}

// Guards against new work for a target that has announced that it is leaving.
// Its announcements overtake each other on the way, and the one that arrived
// last is taken for the newest.
TEST_CASE("late announcements change nothing") {
  TargetRegistry registry{TargetRegistryOptions{}};
  registry.Announce(MakeAnnouncement("t", 5, Standing::kLeaving), kStart);
  CHECK_FALSE(registry.Announce(MakeAnnouncement("t", 4), kStart));
  CHECK(StandingOf(registry, "t") == Standing::kLeaving);
  // Neither does a later one that contradicts: leaving is final.
  registry.Announce(MakeAnnouncement("t", 6), kStart);
  CHECK(StandingOf(registry, "t") == Standing::kLeaving);
}

TEST_CASE("a late announcement does not bring back a target that left") {
  TargetRegistry registry{TargetRegistryOptions{}};
  registry.Announce(MakeAnnouncement("t", 1), kStart);
  CHECK(registry.Withdraw(TargetId("t"), Incarnation(), kStart));
  CHECK_FALSE(registry.Withdraw(TargetId("t"), Incarnation(), kStart));
  CHECK_FALSE(
      registry.Announce(MakeAnnouncement("t", 9), kStart + Seconds(30)));
  CHECK(StandingOf(registry, "t") == Standing::kGone);
  // Also if the withdrawal is the first message that the node gets from the
  // target.
  CHECK(registry.Withdraw(TargetId("u"), Incarnation(), kStart));
  CHECK_FALSE(registry.Announce(MakeAnnouncement("u", 1), kStart));
}

TargetAnnouncement MakeAnnouncementOf(std::uint64_t incarnation,
                                      std::uint64_t sequence,
                                      Standing standing = Standing::kReady) {
  TargetAnnouncement result = MakeAnnouncement("t", sequence, standing);
  result.incarnation = Incarnation(incarnation);
  return result;
}

struct Received {
  std::uint64_t incarnation;
  std::uint64_t sequence;
  Standing standing;
  Duration at{};
};

// Guards against a target that gets no work, or is known by outdated
// properties, after a restart under the same name. It starts its announcement
// sequence again while its earlier start had a higher sequence, had left, or
// has announcements still on their way; ordering by the sequence alone then
// drops the new ones.
TEST_CASE("announcements are ordered by incarnation, then by their count") {
  constexpr Standing kReady = Standing::kReady;
  constexpr Standing kLeaving = Standing::kLeaving;
  struct Row {
    std::string name;
    std::vector<Received> received;
    std::uint64_t incarnation;
    std::uint64_t sequence;
    Standing standing;
  };
  const std::vector<Row> rows = {
      {"a restart with a lower sequence",
       {{7, 40, kReady}, {9, 1, kReady}},
       9,
       1,
       kReady},
      {"a late announcement of the old start",
       {{7, 40, kReady}, {9, 1, kReady}, {7, 41, kLeaving}},
       9,
       1,
       kReady},
      {"two restarts between two announcements",
       {{7, 40, kReady}, {12, 1, kReady}, {9, 3, kReady}},
       12,
       1,
       kReady},
      {"leaving is final for one start only",
       {{7, 40, kLeaving}, {9, 1, kReady}, {9, 2, kReady}},
       9,
       2,
       kReady},
      {"the clock stepped back and the new start continues",
       {{7, 40, kReady},
        {5, 1, kReady, Seconds(2)},
        {5, 2, kReady, Milliseconds(3200)},
        {5, 3, kReady, Milliseconds(4400)},
        {5, 4, kReady, Milliseconds(5600)}},
       5,
       4,
       kReady},
      {"late announcements of an old start while the new one continues",
       {{7, 40, kReady},
        {5, 41, kReady, Seconds(1)},
        {7, 41, kReady, Seconds(2)},
        {5, 42, kReady, Seconds(5)},
        {7, 42, kReady, Seconds(6)},
        {5, 43, kReady, Seconds(8)}},
       7,
       42,
       kReady},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    TargetRegistry registry{TargetRegistryOptions{}};
    for (const Received& message : row.received) {
      registry.Announce(MakeAnnouncementOf(message.incarnation,
                                           message.sequence, message.standing),
                        kStart + message.at);
    }
    const TargetAnnouncement& known =
        registry.records().at(TargetId("t")).announcement;
    CHECK(known.incarnation == Incarnation(row.incarnation));
    CHECK(known.sequence == row.sequence);
    CHECK(known.standing == row.standing);
  }
}

TEST_CASE("a start that left does not shut out the next one") {
  TargetRegistry registry{TargetRegistryOptions{}};
  registry.Announce(MakeAnnouncementOf(7, 40), kStart);
  CHECK(registry.Withdraw(TargetId("t"), Incarnation(7), kStart));
  CHECK(registry.Announce(MakeAnnouncementOf(9, 1), kStart + Seconds(1)));
  CHECK(StandingOf(registry, "t") == Standing::kReady);
  // The withdrawal of the old start arrives after the announcement of the new
  // one.
  CHECK_FALSE(registry.Withdraw(TargetId("t"), Incarnation(7), kStart));
  CHECK(StandingOf(registry, "t") == Standing::kReady);
  CHECK(registry.Withdraw(TargetId("t"), Incarnation(9), kStart));
  CHECK_FALSE(registry.Announce(MakeAnnouncementOf(9, 2), kStart + Seconds(2)));
  CHECK(StandingOf(registry, "t") == Standing::kGone);
}

TEST_CASE("a target becomes silent and announces itself again") {
  TargetRegistryOptions options;
  options.silence_timeout = Seconds(4);
  TargetRegistry registry(options);
  registry.Announce(MakeAnnouncement("t", 1), kStart);
  CHECK_FALSE(registry.Tick(kStart + Seconds(3)));
  CHECK(registry.Tick(kStart + Seconds(4)));
  CHECK(registry.records().at(TargetId("t")).is_silent);
  CHECK(registry.Announce(MakeAnnouncement("t", 2), kStart + Seconds(5)));
  CHECK_FALSE(registry.records().at(TargetId("t")).is_silent);
}

// Guards against sending work to a target that leaves, because its departure is
// known from the log only: this node has restarted since it was announced.
TEST_CASE("a run that leaves is on record before it announces itself") {
  TargetRegistry registry{TargetRegistryOptions{}};
  CHECK(registry.OnLeaving({TargetId("t"), Incarnation(5)}, kStart));
  CHECK_FALSE(registry.OnLeaving({TargetId("t"), Incarnation(5)}, kStart));
  REQUIRE(registry.ChangedSince(0).size() == 1);
  // An announcement that was delayed does not make it ready, but has details.
  registry.Announce(MakeAnnouncementOf(5, 1), kStart);
  CHECK(StandingOf(registry, "t") == Standing::kLeaving);
  CHECK(registry.records().at(TargetId("t")).announcement.address ==
        "10.0.0.1:80");
}

TEST_CASE("the departure of a run concerns no other run of the target") {
  struct Row {
    std::uint64_t known;
    std::uint64_t leaving;
    Standing standing;
    std::uint64_t incarnation;
  };
  for (const Row& row :
       {Row{5, 5, Standing::kLeaving, 5}, Row{6, 5, Standing::kReady, 6},
        Row{6, 0, Standing::kReady, 6}, Row{0, 0, Standing::kLeaving, 0},
        Row{5, 6, Standing::kLeaving, 6}}) {
    CAPTURE(row.known);
    CAPTURE(row.leaving);
    TargetRegistry registry{TargetRegistryOptions{}};
    registry.Announce(MakeAnnouncementOf(row.known, 3), kStart);
    registry.OnLeaving({TargetId("t"), Incarnation(row.leaving)}, kStart);
    CHECK(StandingOf(registry, "t") == row.standing);
    CHECK(
        registry.records().at(TargetId("t")).announcement.incarnation.value() ==
        row.incarnation);
  }
}

TEST_CASE("the number of records stays bounded") {
  TargetRegistryOptions options;
  options.max_records = 3;
  TargetRegistry registry(options);
  for (int i = 0; i < 10; ++i) {
    registry.Announce(MakeAnnouncement("t" + std::to_string(i), 1),
                      kStart + Seconds(i));
  }
  registry.Tick(kStart + Seconds(10));
  CHECK(registry.records().size() == 3);
  CHECK(registry.records().count(TargetId("t9")) == 1);
  registry.Tick(kStart + Seconds(600));
  CHECK(registry.records().empty());
}

}  // namespace
}  // namespace bilberryspool::traffic
