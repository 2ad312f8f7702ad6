// Guards against a group that stands still for as long as a VM is frozen that
// had frozen before the step was held, because one reply was late.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>

#include "auto/groups/slow_reply_world.h"

namespace bilberryspool::groups {
namespace {

constexpr Duration kMaxStall = Milliseconds(500);
constexpr Duration kFreeze = Seconds(4);
constexpr Duration kSweepStep = Microseconds(500);
constexpr Duration kSweepEnd = Milliseconds(60);
constexpr Duration kMaxDelay = Milliseconds(30);
constexpr std::size_t kWindows = 6;
constexpr const char* kWindowNames[kWindows] = {
    "no hold sent",           "frozen before the hold was sent",
    "between hold and reply", "between reply and answer",
    "holding rank",           "later"};

struct Counts {
  std::array<int, kWindows> plays{};
  std::array<int, kWindows> stalled{};
  int mixed_map_steps = 0;
  int not_idle = 0;

  void Add(const Counts& part) {
    for (std::size_t i = 0; i < kWindows; ++i) {
      plays[i] += part.plays[i];
      stalled[i] += part.stalled[i];
    }
    mixed_map_steps += part.mixed_map_steps;
    not_idle += part.not_idle;
  }
  int StalledIn(FreezeWindow window) const {
    return stalled[static_cast<std::size_t>(window)];
  }
  std::string ToText() const {
    std::string text;
    for (std::size_t i = 0; i < kWindows; ++i) {
      text += std::string(i == 0 ? "" : ", ") + kWindowNames[i] + " " +
              std::to_string(stalled[i]) + " of " + std::to_string(plays[i]);
    }
    return text;
  }
};

struct Range {
  Duration shortest = Seconds(1000);
  Duration longest{};

  void Add(Duration duration) {
    shortest = std::min(shortest, duration);
    longest = std::max(longest, duration);
  }
  std::string ToText() const {
    return std::to_string(shortest.count()) + " to " +
           std::to_string(longest.count()) + " us";
  }
};

void Play(std::uint64_t seed,
          const MessageDelay& delay,
          RankIndex frozen,
          Duration begin,
          Counts& counts) {
  SlowReplyWorld world(seed);
  world.DelayMessage(delay);
  world.Freeze(frozen, begin, kFreeze);
  world.RunChange(kFreeze + Seconds(2));
  const auto window = static_cast<std::size_t>(world.window());
  ++counts.plays[window];
  counts.stalled[window] += world.longest_stall() > kMaxStall ? 1 : 0;
  counts.mixed_map_steps += world.group().mixed_map_steps();
  counts.not_idle += world.phase() == SwitchPhase::kIdle ? 0 : 1;
}

// Moves the freeze through the change, for several seeds.
Counts MoveFreeze(const MessageDelay& delay, RankIndex frozen) {
  constexpr std::uint64_t kSeeds = 2;
  Counts counts;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (Duration begin{}; begin < kSweepEnd; begin += kSweepStep) {
      Play(seed, delay, frozen, begin, counts);
    }
  }
  return counts;
}

void CheckSafe(const Counts& counts) {
  CHECK(counts.mixed_map_steps == 0);
  CHECK(counts.not_idle == 0);
}

constexpr std::uint32_t kFrozen[] = {1, 7, 15};

TEST_CASE("a late reply before the hold lets no VM frozen before it stop all") {
  constexpr Duration kDelayStep = Milliseconds(2);
  struct Row {
    const char* name;
    GroupMessageKind kind;
  };
  constexpr Row kRows[] = {{"poll", GroupMessageKind::kPollBeforeHold},
                           {"reply", GroupMessageKind::kReplyBeforeHold}};
  std::size_t plays = 0;
  for (const Row& row : kRows) {
    for (Duration by{}; by <= kMaxDelay; by += kDelayStep) {
      Counts counts;
      for (const std::uint32_t delayed : {0U, 4U, 14U}) {
        const std::uint32_t frozen = kFrozen[plays++ % std::size(kFrozen)];
        counts.Add(
            MoveFreeze({row.kind, RankIndex(delayed), by}, RankIndex(frozen)));
      }
      // The delayed rank and the frozen one meet in other pairs next time.
      ++plays;
      MESSAGE(std::string(row.name), " late by ", by / Milliseconds(1),
              " ms: ", counts.ToText());
      CheckSafe(counts);
      CHECK(counts.StalledIn(FreezeWindow::kBeforeHold) == 0);
    }
  }
}

// Guards against a reply that a VM sent before the hold and that arrives after
// it: it is no evidence that the VM still responds.
TEST_CASE("a reply from before the hold arms no VM that has frozen since") {
  constexpr Duration kDelayStep = Milliseconds(2);
  for (Duration by{}; by <= kMaxDelay; by += kDelayStep) {
    Counts counts;
    for (const std::uint32_t frozen : kFrozen) {
      counts.Add(MoveFreeze(
          {GroupMessageKind::kExtraReplyBeforeHold, RankIndex(frozen), by},
          RankIndex(frozen)));
    }
    MESSAGE("own reply late by ", by / Milliseconds(1),
            " ms: ", counts.ToText());
    CheckSafe(counts);
    CHECK(counts.StalledIn(FreezeWindow::kBeforeHold) == 0);
  }
}

// Any other message that is late while a step is held.
TEST_CASE("no other late message lets a VM frozen before the hold stop all") {
  constexpr Duration kDelayStep = Milliseconds(10);
  struct Row {
    const char* name;
    GroupMessageKind kind;
    std::uint32_t rank;
  };
  constexpr Row kRows[] = {
      {"hold order", GroupMessageKind::kHoldOrder, 0},
      {"hold answer", GroupMessageKind::kHoldAnswer, 0},
      {"reply while held", GroupMessageKind::kReplyWhileHeld, 4},
      {"own reply while held", GroupMessageKind::kReplyWhileHeld, 7},
      {"order to arm", GroupMessageKind::kArmOrder, 4},
      {"own order to arm", GroupMessageKind::kArmOrder, 7},
      {"answer to it", GroupMessageKind::kArmAnswer, 4},
      {"order to release", GroupMessageKind::kReleaseOrder, 0}};
  for (const Row& row : kRows) {
    for (Duration by{}; by <= kMaxDelay; by += kDelayStep) {
      const Counts counts =
          MoveFreeze({row.kind, RankIndex(row.rank), by}, RankIndex(7));
      MESSAGE(std::string(row.name), " late by ", by / Milliseconds(1),
              " ms: ", counts.ToText());
      CheckSafe(counts);
      CHECK(counts.StalledIn(FreezeWindow::kBeforeHold) == 0);
    }
  }
}

// The holding rank: a freeze before the hold was sent, or, for the counts,
// while it holds.
TEST_CASE("a late reply lets no holding rank frozen before the hold stop all") {
  constexpr Duration kDelayStep = Milliseconds(10);
  for (Duration by{}; by <= kMaxDelay; by += kDelayStep) {
    const Counts counts = MoveFreeze(
        {GroupMessageKind::kReplyBeforeHold, RankIndex(4), by}, RankIndex(0));
    MESSAGE("holding rank frozen, reply of rank 4 late by ",
            by / Milliseconds(1), " ms: ", counts.ToText());
    CheckSafe(counts);
    CHECK(counts.StalledIn(FreezeWindow::kBeforeHold) == 0);
  }
}

// Measures without a freeze how long the outcome of an order to arm is unknown
// and how long the step is held.
TEST_CASE("the times of unknown outcomes and of the hold by late message") {
  constexpr std::uint64_t kSeeds = 20;
  constexpr Duration kDelayStep = Milliseconds(5);
  struct Row {
    const char* name;
    GroupMessageKind kind;
    std::uint32_t rank;
  };
  constexpr Row kRows[] = {
      {"poll before the hold", GroupMessageKind::kPollBeforeHold, 4},
      {"reply before the hold", GroupMessageKind::kReplyBeforeHold, 4},
      {"extra reply before the hold", GroupMessageKind::kExtraReplyBeforeHold,
       4},
      {"hold order", GroupMessageKind::kHoldOrder, 0},
      {"hold answer", GroupMessageKind::kHoldAnswer, 0},
      {"reply while held", GroupMessageKind::kReplyWhileHeld, 4},
      {"order to arm", GroupMessageKind::kArmOrder, 4},
      {"answer to it", GroupMessageKind::kArmAnswer, 4},
      {"order to release", GroupMessageKind::kReleaseOrder, 0}};
  for (const Row& row : kRows) {
    for (Duration by{}; by <= kMaxDelay; by += kDelayStep) {
      Range round;
      Range unknown;
      Range hold;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SlowReplyWorld world(seed);
        world.DelayMessage({row.kind, RankIndex(row.rank), by});
        world.RunChange(Seconds(1));
        CHECK(world.group().mixed_map_steps() == 0);
        CHECK(world.phase() == SwitchPhase::kIdle);
        round.Add(world.round_time());
        unknown.Add(world.unknown_times().shortest);
        unknown.Add(world.unknown_times().longest);
        hold.Add(world.holding_time());
      }
      MESSAGE(std::string(row.name), " late by ", by / Milliseconds(1),
              " ms: round ", round.ToText(), ", unknown ", unknown.ToText(),
              ", held ", hold.ToText());
    }
  }
}

}  // namespace
}  // namespace bilberryspool::groups
