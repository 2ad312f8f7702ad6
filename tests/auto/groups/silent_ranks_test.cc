#include "libs/groups/silent_ranks.h"

#include <doctest/doctest.h>

namespace bilberryspool::groups {
namespace {

constexpr Duration kTick = Milliseconds(25);
constexpr std::uint32_t kRanks = 192;

class World {
 public:
  // All but the first `silent` ranks are heard every 100 ms.
  void Run(Duration length, std::uint32_t silent) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kTick) {
      if (now_ >= heard_at_ + Milliseconds(100)) {
        heard_at_ = now_;
        for (std::uint32_t i = silent; i < kRanks; ++i) {
          ranks_.OnHeard(RankIndex(i), now_);
        }
      }
      ranks_.Tick(now_);
    }
  }

  // The listener itself stands still.
  void Stall(Duration length) { now_ += length; }

  std::size_t missing() const { return ranks_.Missing().size(); }

 private:
  SilentRanks ranks_;
  TimePoint now_ = TimeAt(Seconds(5));
  TimePoint heard_at_;
};

TEST_CASE("its own lateness shows while it lasts and after") {
  SilentRanks ranks;
  const TimePoint start = TimeAt(Seconds(5));
  ranks.Tick(start);
  CHECK_FALSE(ranks.WasLateSince(start, start + kTick));
  CHECK(ranks.WasLateSince(start, start + Milliseconds(300)));
  ranks.Tick(start + Milliseconds(300));
  CHECK(ranks.WasLateSince(start, start + Milliseconds(310)));
  CHECK_FALSE(
      ranks.WasLateSince(start + Milliseconds(305), start + Milliseconds(310)));
}

TEST_CASE("ranks that don't answer are missing until they do") {
  struct Row {
    const char* name;
    std::uint32_t silent;
    std::size_t missing;
  };
  const Row rows[] = {{"none", 0, 0},
                      {"one", 1, 1},
                      {"a domain", 38, 38},
                      {"most: the listener is cut off", 100, 0}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world;
    world.Run(Seconds(1), 0);
    world.Run(Milliseconds(500), row.silent);
    CHECK(world.missing() == 0);
    world.Run(Milliseconds(350), row.silent);
    CHECK(world.missing() == row.missing);
    // Lateness of the listener tells nothing of those that are gone.
    world.Stall(Milliseconds(300));
    world.Run(Milliseconds(100), row.silent);
    CHECK(world.missing() == row.missing);
    world.Run(Milliseconds(200), 0);
    CHECK(world.missing() == 0);
  }
}

// Symptom: 40 targets of three domains turn slow at once and are well again 50
// ms later; their streams have left, and those of the others are late for a
// second. Sequence: the leader works out a plan and sends out the map, 0.3 s in
// which it reads no answer; a tick later it judges by the age of what it read
// before. Cause: its own lateness was taken for the ranks' silence.
TEST_CASE("who was late itself doesn't take others for silent") {
  for (const Duration late :
       {Milliseconds(150), Milliseconds(400), Milliseconds(900), Seconds(3)}) {
    CAPTURE(late.count());
    World world;
    world.Run(Seconds(1), 0);
    // Half a second old already when the stall begins.
    world.Run(Milliseconds(500), 40);
    world.Stall(late);
    world.Run(kTick, 40);
    CHECK(world.missing() == 0);
    // Given the time to answer, those that still do not are missing.
    world.Run(Milliseconds(800), 40);
    CHECK(world.missing() == 40);
  }
}

}  // namespace
}  // namespace bilberryspool::groups
