#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "auto/placement/observed_loads.h"
#include "libs/base/random.h"
#include "libs/placement/bounded_plan.h"

namespace bilberryspool::placement {
namespace {

constexpr std::uint32_t kLayers = 4;
constexpr std::uint32_t kExperts = 64;
constexpr std::uint32_t kRanks = 16;

ExpertMap RoundRobinMap() {
  ExpertMap map(kLayers, kExperts);
  for (std::uint32_t layer = 0; layer < kLayers; ++layer) {
    for (std::uint32_t e = 0; e < kExperts; ++e) {
      map.Add({LayerIndex(layer), ExpertIndex(e)}, RankIndex(e % kRanks));
    }
  }
  return map;
}

// Loads proportional to 1/n; the first expert of each layer has a fifth of the
// total.
ExpertLoads Skewed(std::uint64_t seed) {
  Random random(seed);
  ExpertLoads loads(kLayers, kExperts);
  for (std::uint32_t layer = 0; layer < kLayers; ++layer) {
    const auto hot = static_cast<std::uint32_t>(random.Below(kExperts));
    for (std::uint32_t e = 0; e < kExperts; ++e) {
      const double place = 1.0 + (e + kExperts - hot) % kExperts;
      loads[{LayerIndex(layer), ExpertIndex(e)}] = 1000.0 / place;
    }
  }
  return loads;
}

BoundedPlanOptions MakeOptions() {
  BoundedPlanOptions options;
  options.ranks = kRanks;
  options.slots_per_layer = 5;
  options.new_experts = 2;
  options.new_experts_all_layers = 3;
  return options;
}

TEST_CASE("a plan respects the engines' limits and improves the map") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const ExpertMap before = RoundRobinMap();
    const BoundedPlan plan = PlanBounded(before, Skewed(seed), MakeOptions());
    CHECK(plan.map.Orphans().empty());
    CHECK(plan.imbalance_before > 2.0);
    CHECK(plan.imbalance_after < 0.6 * plan.imbalance_before);
    std::uint32_t fetches = 0;
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      std::uint32_t added_in_all = 0;
      for (std::uint32_t layer = 0; layer < kLayers; ++layer) {
        const auto held = plan.map.HeldBy(RankIndex(rank), LayerIndex(layer));
        CHECK(held.size() <= 5);
        std::uint32_t added = 0;
        for (const ExpertIndex expert : held) {
          added += before.Holds(RankIndex(rank), {LayerIndex(layer), expert})
                       ? 0
                       : 1;
        }
        CHECK(added <= 2);
        added_in_all += added;
      }
      CHECK(added_in_all <= 3);
      fetches += added_in_all;
    }
    CHECK(fetches <= plan.fetches);
  }
}

// After a shift of demand the group was slow until all copies were complete,
// because a change was as large as a rank may copy, although the first copy of
// each hot expert brings most of the gain.
TEST_CASE("the size of a change depends on the time that its copies take") {
  struct Case {
    std::int64_t copy_ms;
    std::uint32_t max_fetches;  // copies per rank
  };
  for (const Case& item : {Case{300, 1}, {110, 1}, {50, 2}, {16, 7}, {0, 3}}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(item.copy_ms);
      CAPTURE(seed);
      ChangeCosts costs;
      costs.copy_time = Milliseconds(item.copy_ms);
      const BoundedPlan plan =
          PlanMinTimeLoss(RoundRobinMap(), Skewed(seed), MakeOptions(), costs);
      CHECK(plan.map.Orphans().empty());
      CHECK(plan.max_rank_fetches >= 1);
      CHECK(plan.max_rank_fetches <= item.max_fetches);
      CHECK(plan.imbalance_after < 0.75 * plan.imbalance_before);
    }
  }
}

TEST_CASE("larger changes are chosen if they lose less time") {
  ChangeCosts costs;
  costs.copy_time = Milliseconds(110);
  costs.horizon = Seconds(20);
  const BoundedPlan long_horizon =
      PlanMinTimeLoss(RoundRobinMap(), Skewed(1), MakeOptions(), costs);
  costs.horizon = Milliseconds(300);
  const BoundedPlan short_horizon =
      PlanMinTimeLoss(RoundRobinMap(), Skewed(1), MakeOptions(), costs);
  CHECK(long_horizon.max_rank_fetches > short_horizon.max_rank_fetches);
  CHECK(long_horizon.imbalance_after < short_horizon.imbalance_after);
}

TEST_CASE("several changes bring the layers close to balance") {
  ExpertMap map = RoundRobinMap();
  const ExpertLoads loads = Skewed(3);
  double imbalance = 0.0;
  for (int i = 0; i < 6; ++i) {
    const BoundedPlan plan = PlanBounded(map, loads, MakeOptions());
    imbalance = plan.imbalance_after;
    map = plan.map;
  }
  CHECK(imbalance < 1.15);
}

// A rank that runs slower delayed its whole group, because it got as much of
// the experts' work as the others.
TEST_CASE("a slow rank gets less of the work") {
  BoundedPlanOptions options = MakeOptions();
  options.speeds.assign(kRanks, 1.0);
  options.speeds[5] = 0.25;
  ExpertLoads even(kLayers, kExperts);
  for (double& load : even.values()) {
    load = 100.0;
  }
  const BoundedPlan plan = PlanBounded(RoundRobinMap(), even, options);
  CHECK(plan.imbalance_before > 3.5);
  CHECK(plan.imbalance_after < 0.7 * plan.imbalance_before);
}

std::vector<std::uint64_t> Counters(std::uint64_t first, std::uint64_t second) {
  return {first, second};
}

RecentLoadsOptions SmallOptions() {
  RecentLoadsOptions options;
  options.layers = 1;
  options.experts = 2;
  return options;
}

// After a change of demand the map fitted neither the old nor the new demand,
// because the loads were a mean of both.
TEST_CASE("a change of demand discards the previous loads") {
  ObservedLoads recent(SmallOptions(), {});
  const RankIndex rank(0);
  const TimePoint start = TimeAt(Seconds(10));
  recent.Observe(rank, {Counters(0, 0)}, start);
  recent.Observe(rank, {Counters(90'000, 10'000)}, start + Milliseconds(100));
  CHECK(recent.loads().values()[0] > 80'000.0);
  recent.Observe(rank, {Counters(91'000, 59'000)}, start + Milliseconds(200));
  CHECK(recent.loads().values()[0] == doctest::Approx(1'000.0));
  CHECK(recent.loads().values()[1] == doctest::Approx(49'000.0));
}

// One shift of demand in eight was followed half a second late: readings were
// compared one by one, and a reading of a rank that serves few requests has too
// few counts to be compared, so it was merged into the loads from before the
// shift.
TEST_CASE("readings with too few counts are compared together") {
  ObservedLoads recent(SmallOptions(), {});
  const TimePoint start = TimeAt(Seconds(10));
  constexpr std::uint64_t kSmall = 700;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    recent.Observe(RankIndex(rank), {Counters(0, 0)}, start);
    recent.Observe(RankIndex(rank), {Counters(30'000, 0)}, start);
  }
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    recent.Observe(RankIndex(rank), {Counters(30'000, kSmall)}, start);
  }
  CHECK(recent.loads().values()[0] == doctest::Approx(0.0));
  CHECK(recent.loads().values()[1] == doctest::Approx(3.0 * kSmall));
}

TEST_CASE("a restarted rank and work of another size are ignored") {
  ObservedLoads recent(SmallOptions(), {});
  const RankIndex rank(0);
  const TimePoint start = TimeAt(Seconds(10));
  recent.Observe(rank, {Counters(0, 0)}, start);
  recent.Observe(rank, {Counters(50'000, 50'000)}, start);
  recent.Observe(rank, {Counters(10, 10)}, start);
  CHECK(recent.weight() == doctest::Approx(100'000.0));
  recent.Add({1.0, 2.0, 3.0}, start);
  CHECK(recent.weight() == doctest::Approx(100'000.0));
  recent.Observe(rank, {Counters(1'010, 1'010)}, start);
  CHECK(recent.weight() == doctest::Approx(102'000.0));
}

}  // namespace
}  // namespace bilberryspool::placement
