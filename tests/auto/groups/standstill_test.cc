// When a group counts as one that stands still.

#include "libs/groups/standstill.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace bilberryspool::groups {
namespace {

constexpr std::uint32_t kRanks = 4;

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100) + Milliseconds(ms));
}

EngineReport Report(std::uint64_t step, std::uint32_t running) {
  EngineReport report;
  report.epoch = GroupEpoch(1);
  report.is_open = true;
  report.step = StepNumber(step);
  report.running = running;
  return report;
}

// Reports of all ranks each 50 ms.
class Watched {
 public:
  void Run(std::int64_t from_ms,
           std::int64_t to_ms,
           std::int64_t step_ms,
           std::uint32_t running) {
    for (std::int64_t ms = from_ms; ms < to_ms; ms += 50) {
      if (step_ms > 0) {
        step_ = static_cast<std::uint64_t>(ms / step_ms);
      }
      for (std::uint32_t i = 0; i < kRanks; ++i) {
        watch.OnReport(RankIndex(i), Report(step_, running), At(ms));
      }
      was_standing = was_standing || watch.IsStanding(At(ms));
    }
  }

  Standstill watch{StandstillOptions{}};
  bool was_standing = false;

 private:
  std::uint64_t step_ = 0;
};

struct Row {
  const char* name;
  std::int64_t step_ms;
  std::uint32_t running;
};

TEST_CASE("a group that steps, slowly too, or has no work does not stand") {
  const Row rows[] = {{"usual steps", 40, 8},
                      {"a slow rank", 300, 8},
                      {"steps as long as the bound", 450, 8},
                      {"no work and no steps", 0, 0}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Watched group;
    group.Run(0, 6000, row.step_ms, row.running);
    CHECK_FALSE(group.was_standing);
  }
}

// The symptom is told at the top of libs/groups/standstill.h.
TEST_CASE("a group with work and no step for half a second stands still") {
  Watched group;
  group.Run(0, 2000, 40, 8);
  REQUIRE_FALSE(group.was_standing);
  group.Run(2000, 2450, 0, 8);
  CHECK_FALSE(group.was_standing);
  group.Run(2450, 2700, 0, 8);
  CHECK(group.watch.IsStanding(At(2700)));
  group.Run(2700, 2800, 40, 8);
  CHECK_FALSE(group.watch.IsStanding(At(2800)));
}

TEST_CASE("work that comes to an idle group is no standstill") {
  Watched group;
  group.Run(0, 1000, 40, 8);
  group.Run(1000, 5000, 0, 0);
  group.Run(5000, 5200, 0, 3);
  CHECK_FALSE(group.was_standing);
  group.Run(5200, 5800, 0, 3);
  CHECK(group.watch.IsStanding(At(5800)));
}

TEST_CASE("nothing is said of a group that is not heard, or is broken") {
  Watched group;
  group.Run(0, 1000, 40, 8);
  group.Run(1000, 2000, 0, 8);
  CHECK(group.watch.IsStanding(At(2000)));
  CHECK_FALSE(group.watch.IsStanding(At(4000)));
  EngineReport broken = Report(24, 8);
  broken.is_open = false;
  group.watch.OnReport(RankIndex(0), broken, At(4000));
  CHECK_FALSE(group.watch.IsStanding(At(4000)));
}

// A group that forms anew counts from its first step.
TEST_CASE("a new epoch forgets the stop of the one before") {
  Watched group;
  group.Run(0, 1000, 40, 8);
  group.Run(1000, 2000, 0, 8);
  REQUIRE(group.watch.IsStanding(At(2000)));
  EngineReport formed = Report(1, 8);
  formed.epoch = GroupEpoch(2);
  group.watch.OnReport(RankIndex(0), formed, At(2050));
  CHECK_FALSE(group.watch.IsStanding(At(2050)));
}

}  // namespace
}  // namespace bilberryspool::groups
