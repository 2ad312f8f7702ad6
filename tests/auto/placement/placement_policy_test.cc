#include "libs/placement/placement_policy.h"

#include <doctest/doctest.h>

#include <cstdlib>

#include "libs/base/random.h"
#include "libs/placement/map_history.h"
#include "libs/placement/map_repair.h"

namespace bilberryspool::placement {
namespace {

constexpr TimePoint kNow = TimeAt(Seconds(10000));

ExpertKey Key(std::uint32_t layer, std::uint32_t expert) {
  return {LayerIndex(layer), ExpertIndex(expert)};
}

// Four ranks with three slots each and eight experts, of which the first is
// hot.
PlacementInput HotExpert() {
  PlacementInput input;
  input.map = ExpertMap::RoundRobin(2, 8, 4, 2);
  input.loads = ExpertLoads(2, 8);
  for (double& load : input.loads.values()) {
    load = 1;
  }
  input.loads[Key(0, 0)] = 6;
  input.ranks.assign(4, RankCapacity{1, 3, true});
  return input;
}

PlacementInput RandomInput(std::uint64_t seed) {
  Random random(seed);
  const auto ranks = static_cast<std::uint32_t>(2 + random.Below(9));
  const std::uint32_t experts = 16;
  const std::uint32_t slots = (experts + ranks - 1) / ranks + 1;
  PlacementInput input;
  input.map = ExpertMap::RoundRobin(3, experts, ranks, slots);
  input.loads = ExpertLoads(3, experts);
  for (double& load : input.loads.values()) {
    load = 1 / (0.05 + random.Fraction());
  }
  for (std::uint32_t i = 0; i < ranks; ++i) {
    input.ranks.push_back({0.5 + random.Fraction(), slots, random.Chance(0.9)});
  }
  for (int i = 0; i < 4; ++i) {
    const auto expert = static_cast<std::uint32_t>(random.Below(experts));
    const RankIndex rank(static_cast<std::uint32_t>(random.Below(ranks)));
    CopySet& set =
        random.Chance(0.5) ? input.rules.pinned : input.rules.forbidden;
    set.emplace(Key(static_cast<std::uint32_t>(random.Below(3)), expert), rank);
  }
  return input;
}

TEST_CASE("a hot expert gets more copies and the skew falls") {
  const PlacementInput input = HotExpert();
  const Decision decision = DecidePlacement(input, {}, kNow);
  const auto& plan = std::get<MovePlan>(decision);
  CHECK(plan.skew_after < plan.skew_before);
  CHECK(plan.map.holders(Key(0, 0)).size() > 1);
  CHECK(plan.skew_after ==
        doctest::Approx(SkewOf(plan.map, input.loads, input.ranks)));
}

TEST_CASE("moves that do not pay off are not made unless forced") {
  struct Row {
    const char* name;
    void (*change)(PlacementInput&, PlacementSettings&);
    bool moves;
  };
  const Row rows[] = {
      {"unchanged", [](PlacementInput&, PlacementSettings&) {}, true},
      {"in flight",
       [](PlacementInput& input, PlacementSettings&) {
         input.fetches_in_flight = 1;
       },
       false},
      {"changed recently",
       [](PlacementInput& input, PlacementSettings&) {
         input.last_change = kNow - Seconds(1);
       },
       false},
      {"expensive fetches",
       [](PlacementInput& input, PlacementSettings&) {
         input.seconds_per_fetch = 1000;
       },
       false},
      {"expensive fetches, forced",
       [](PlacementInput& input, PlacementSettings&) {
         input.seconds_per_fetch = 1000;
         input.forced = true;
       },
       true},
      {"at the peak, pays off",
       [](PlacementInput& input, PlacementSettings&) { input.at_peak = true; },
       true},
      {"at the peak, does not pay off",
       [](PlacementInput& input, PlacementSettings& settings) {
         input.at_peak = true;
         settings.peak_factor = 1e6;
       },
       false},
      {"quiet window, does not pay off",
       [](PlacementInput& input, PlacementSettings& settings) {
         input.quiet_window = true;
         settings.quiet_factor = 1e6;
       },
       false},
      {"idle group",
       [](PlacementInput& input, PlacementSettings&) { input.utilization = 0; },
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlacementInput input = HotExpert();
    PlacementSettings settings;
    row.change(input, settings);
    const Decision decision = DecidePlacement(input, settings, kNow);
    CHECK(std::holds_alternative<MovePlan>(decision) == row.moves);
  }
}

TEST_CASE("plans respect slots, rules and limits and are deterministic") {
  const char* requested_seeds = std::getenv("BILBERRYSPOOL_SEEDS");
  const std::uint64_t seeds = requested_seeds == nullptr
                                  ? 200
                                  : std::strtoull(requested_seeds, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    const PlacementInput input = RandomInput(seed);
    const PlacementSettings settings = PlacementSettings::LatencySensitive();
    const Decision decision = DecidePlacement(input, settings, kNow);
    const auto* plan = std::get_if<MovePlan>(&decision);
    if (plan == nullptr) {
      continue;
    }
    const Decision again = DecidePlacement(input, settings, kNow);
    CHECK(std::get<MovePlan>(again).map == plan->map);
    REQUIRE(plan->map.Orphans().empty());
    std::uint32_t fetches = 0;
    for (const Move& move : plan->moves) {
      fetches += move.fetches();
    }
    CHECK(fetches <= settings.max_fetches);
    for (std::uint32_t i = 0; i < input.ranks.size(); ++i) {
      for (std::uint32_t layer = 0; layer < 3; ++layer) {
        const auto held = plan->map.HeldBy(RankIndex(i), LayerIndex(layer));
        REQUIRE(held.size() <= input.ranks[i].slots);
      }
    }
    for (const auto& [key, rank] : input.rules.pinned) {
      CHECK(plan->map.Holds(rank, key) >= input.map.Holds(rank, key));
    }
    for (const auto& [key, rank] : input.rules.forbidden) {
      CHECK(plan->map.Holds(rank, key) <= input.map.Holds(rank, key));
    }
  }
}

TEST_CASE("a slow rank gets less work") {
  PlacementInput input = HotExpert();
  input.loads[Key(0, 0)] = 1;
  input.ranks[3].speed = 0.4;
  const Decision decision = DecidePlacement(input, {}, kNow);
  const auto& plan = std::get<MovePlan>(decision);
  CHECK(plan.skew_after < plan.skew_before);
}

TEST_CASE("experts of a lost rank are placed if there is room") {
  struct Row {
    std::uint32_t slots;
    bool room;
  };
  const Row rows[] = {{2, false}, {3, true}};
  for (const Row& row : rows) {
    const ExpertMap map = ExpertMap::RoundRobin(2, 8, 4, 2);
    const std::vector<RankIndex> left{RankIndex(0), RankIndex(1), RankIndex(2)};
    const auto repaired =
        RepairOrphans(map.RestrictedTo(left), left, row.slots);
    CHECK(repaired.has_value() == row.room);
    CHECK((!repaired || repaired->Orphans().empty()));
  }
}

TEST_CASE("undo restores one map at a time") {
  MapHistory history(2);
  const ExpertMap first = ExpertMap::RoundRobin(1, 2, 2, 1);
  const ExpertMap second = ExpertMap::RoundRobin(1, 2, 2, 2);
  history.Push(ExpertMap());
  history.Push(first);
  history.Push(second);
  CHECK(history.Undo() == second);
  CHECK(history.Undo() == first);
  CHECK_FALSE(history.Undo().has_value());
}

}  // namespace
}  // namespace bilberryspool::placement
