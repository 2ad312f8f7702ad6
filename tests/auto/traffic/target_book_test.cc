#include <doctest/doctest.h>

#include <string>
#include <vector>

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
  CHECK(book.Withdraw(TargetId("t"), Incarnation(), kStart));
  CHECK_FALSE(book.Withdraw(TargetId("t"), Incarnation(), kStart));
  CHECK_FALSE(book.Announce(Beat("t", 9), kStart + Seconds(30)));
  CHECK(StandingOf(book, "t") == Standing::kGone);
  // Also where the node hears of it for the first time by its leaving.
  CHECK(book.Withdraw(TargetId("u"), Incarnation(), kStart));
  CHECK_FALSE(book.Announce(Beat("u", 1), kStart));
}

TargetAnnouncement BeatOf(std::uint64_t incarnation,
                          std::uint64_t sequence,
                          Standing standing = Standing::kReady) {
  TargetAnnouncement told = Beat("t", sequence, standing);
  told.incarnation = Incarnation(incarnation);
  return told;
}

struct Word {
  std::uint64_t incarnation;
  std::uint64_t sequence;
  Standing standing;
  Duration at{};
};

// Symptom: a target that has started again under its name gets no work, or its
// details are those of before. Sequence: it counts its announcements anew, its
// earlier start said more, or left, or has words still on their way. Cause:
// announcements were ordered by their count alone.
TEST_CASE("announcements are ordered by incarnation, then by their count") {
  constexpr Standing kReady = Standing::kReady;
  constexpr Standing kLeaving = Standing::kLeaving;
  struct Row {
    std::string name;
    std::vector<Word> words;
    std::uint64_t incarnation;
    std::uint64_t sequence;
    Standing standing;
  };
  const std::vector<Row> rows = {
      {"a new start counts anew",
       {{7, 40, kReady}, {9, 1, kReady}},
       9,
       1,
       kReady},
      {"a late word of the old start",
       {{7, 40, kReady}, {9, 1, kReady}, {7, 41, kLeaving}},
       9,
       1,
       kReady},
      {"two starts between two check-ins",
       {{7, 40, kReady}, {12, 1, kReady}, {9, 3, kReady}},
       12,
       1,
       kReady},
      {"leaving is final for one start only",
       {{7, 40, kLeaving}, {9, 1, kReady}, {9, 2, kReady}},
       9,
       2,
       kReady},
      {"the clock stepped back, and the start goes on speaking",
       {{7, 40, kReady},
        {5, 1, kReady, Seconds(2)},
        {5, 2, kReady, Milliseconds(3200)},
        {5, 3, kReady, Milliseconds(4400)},
        {5, 4, kReady, Milliseconds(5600)}},
       5,
       4,
       kReady},
      {"words of an old start while the new one speaks",
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
    TargetBook book{TargetBookOptions{}};
    for (const Word& word : row.words) {
      book.Announce(BeatOf(word.incarnation, word.sequence, word.standing),
                    kStart + word.at);
    }
    const TargetAnnouncement& known =
        book.records().at(TargetId("t")).announcement;
    CHECK(known.incarnation == Incarnation(row.incarnation));
    CHECK(known.sequence == row.sequence);
    CHECK(known.standing == row.standing);
  }
}

TEST_CASE("a start that left does not shut out the next one") {
  TargetBook book{TargetBookOptions{}};
  book.Announce(BeatOf(7, 40), kStart);
  CHECK(book.Withdraw(TargetId("t"), Incarnation(7), kStart));
  CHECK(book.Announce(BeatOf(9, 1), kStart + Seconds(1)));
  CHECK(StandingOf(book, "t") == Standing::kReady);
  // The leave of the old start arrives after the new one's announcement.
  CHECK_FALSE(book.Withdraw(TargetId("t"), Incarnation(7), kStart));
  CHECK(StandingOf(book, "t") == Standing::kReady);
  CHECK(book.Withdraw(TargetId("t"), Incarnation(9), kStart));
  CHECK_FALSE(book.Announce(BeatOf(9, 2), kStart + Seconds(2)));
  CHECK(StandingOf(book, "t") == Standing::kGone);
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
