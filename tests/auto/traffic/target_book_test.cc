#include <doctest/doctest.h>

#include <string>

#include "libs/traffic/target_book.h"

namespace bilberryspool::traffic {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(50));

TargetAnnouncement Beat(const std::string& target,
                        std::uint64_t sequence,
                        Standing standing = Standing::kReady) {
  TargetAnnouncement told;
  told.target = TargetId(target);
  told.service = ServiceId("model");
  told.address = "10.0.0.1:80";
  told.slots = 4;
  told.standing = standing;
  told.sequence = sequence;
  return told;
}

Standing StandingOf(const TargetBook& book, const std::string& target) {
  return book.records().at(TargetId(target)).announcement.standing;
}

TEST_CASE("only what gateways act on is news") {
  TargetBook book{TargetBookOptions{}};
  CHECK(book.Announce(Beat("t", 1), kStart));
  CHECK_FALSE(book.Announce(Beat("t", 2), kStart));
  TargetAnnouncement moved = Beat("t", 3);
  moved.slots = 8;
  CHECK(book.Announce(moved, kStart));
  CHECK(book.ChangedSince(1).size() == 1);
  CHECK(book.ChangedSince(book.revision()).empty());
}

// Symptom: a target that has said that it leaves gets new work. Sequence: its
// announcements overtake each other on the way. Cause: the later arrival was
// taken for the later word.
TEST_CASE("late announcements change nothing") {
  TargetBook book{TargetBookOptions{}};
  book.Announce(Beat("t", 5, Standing::kLeaving), kStart);
  CHECK_FALSE(book.Announce(Beat("t", 4), kStart));
  CHECK(StandingOf(book, "t") == Standing::kLeaving);
  // Nor does a later one that says otherwise: leaving is final.
  book.Announce(Beat("t", 6), kStart);
  CHECK(StandingOf(book, "t") == Standing::kLeaving);
}

TEST_CASE("a target that left does not come back by a late announcement") {
  TargetBook book{TargetBookOptions{}};
  book.Announce(Beat("t", 1), kStart);
  CHECK(book.Withdraw(TargetId("t"), kStart));
  CHECK_FALSE(book.Withdraw(TargetId("t"), kStart));
  CHECK_FALSE(book.Announce(Beat("t", 9), kStart + Seconds(30)));
  CHECK(StandingOf(book, "t") == Standing::kGone);
  // Also where the node hears of it for the first time by its leaving.
  CHECK(book.Withdraw(TargetId("u"), kStart));
  CHECK_FALSE(book.Announce(Beat("u", 1), kStart));
}

TEST_CASE("a target falls silent and is heard again") {
  TargetBookOptions options;
  options.silence = Seconds(4);
  TargetBook book(options);
  book.Announce(Beat("t", 1), kStart);
  CHECK_FALSE(book.Tick(kStart + Seconds(3)));
  CHECK(book.Tick(kStart + Seconds(4)));
  CHECK(book.records().at(TargetId("t")).is_silent);
  CHECK(book.Announce(Beat("t", 2), kStart + Seconds(5)));
  CHECK_FALSE(book.records().at(TargetId("t")).is_silent);
}

TEST_CASE("the book stays bounded") {
  TargetBookOptions options;
  options.max_records = 3;
  TargetBook book(options);
  for (int i = 0; i < 10; ++i) {
    book.Announce(Beat("t" + std::to_string(i), 1), kStart + Seconds(i));
  }
  book.Tick(kStart + Seconds(10));
  CHECK(book.records().size() == 3);
  CHECK(book.records().count(TargetId("t9")) == 1);
  book.Tick(kStart + Seconds(600));
  CHECK(book.records().empty());
}

}  // namespace
}  // namespace bilberryspool::traffic
