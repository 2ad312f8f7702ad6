#include "tools/placement_bench/strategies.h"

#include <algorithm>

#include "libs/base/overloaded.h"
#include "libs/placement/layer_packer.h"

namespace bilberryspool::bench {
namespace {

constexpr int kMovesPerLayer = 6;    // of the greedy strategy
constexpr double kTolerance = 0.02;  // of the full repack

using placement::Decision;
using placement::ExpertLoads;
using placement::ExpertMap;
using placement::LayerIndex;
using placement::LayerSearch;
using placement::MovePlan;
using placement::OperatorRules;
using placement::PlacementInput;
using placement::RankCapacity;

void Apply(const std::vector<placement::CopyChange>& changes, ExpertMap& map) {
  for (const placement::CopyChange& change : changes) {
    if (change.adds) {
      map.Add(change.key, change.rank);
    } else {
      map.Remove(change.key, change.rank);
    }
  }
}

std::optional<ExpertMap> Greedy(const GreedyOnThreshold& strategy,
                                const Situation& situation) {
  if (placement::SkewOf(situation.map, situation.estimate, situation.ranks) <
      strategy.skew_threshold) {
    return std::nullopt;
  }
  ExpertMap map = situation.map;
  const OperatorRules no_rules;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    LayerSearch search(situation.map, situation.estimate, situation.ranks,
                       no_rules, LayerIndex(i));
    for (int move_count = 0; move_count < kMovesPerLayer; ++move_count) {
      const std::optional<placement::Move> move = search.Improve();
      if (!move) {
        break;
      }
      Apply(move->changes, map);
    }
  }
  return map;
}

std::optional<ExpertMap> Decide(const PolicyStrategy& policy,
                                const Situation& situation) {
  PlacementInput input;
  input.map = situation.map;
  input.loads = policy.forecast ? situation.forecast : situation.estimate;
  input.ranks = situation.ranks;
  input.seconds_per_fetch = situation.seconds_per_fetch;
  input.utilization = situation.utilization;
  input.last_change = situation.last_change;
  input.at_peak = situation.utilization > 0.85;
  const Decision decision =
      placement::DecidePlacement(input, policy.settings, situation.now);
  if (const auto* plan = std::get_if<MovePlan>(&decision)) {
    return plan->map;
  }
  return std::nullopt;
}

}  // namespace

ExpertMap RepackAll(const Situation& situation) {
  const OperatorRules no_rules;
  ExpertMap map = situation.map;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    const LayerIndex layer(i);
    const auto packed =
        placement::PackLayer(situation.map, situation.estimate, situation.ranks,
                             no_rules, layer, kTolerance);
    if (packed) {
      Apply(placement::ChangesTo(*packed, situation.map, layer), map);
    }
  }
  return map;
}

std::optional<ExpertMap> NextMap(const Strategy& strategy,
                                 const Situation& situation) {
  return std::visit(
      Overloaded{
          [](const NeverRebalance&) -> std::optional<ExpertMap> {
            return std::nullopt;
          },
          [&](const FullRepack& repack) -> std::optional<ExpertMap> {
            if (situation.now - situation.last_change < repack.interval) {
              return std::nullopt;
            }
            return RepackAll(situation);
          },
          [&](const GreedyOnThreshold& greedy) {
            return Greedy(greedy, situation);
          },
          [&](const PolicyStrategy& policy) {
            return Decide(policy, situation);
          },
      },
      strategy);
}

// A layer takes at least the time of an even split of its work over all ranks,
// and at least that of its largest share per copy on the fastest rank; the
// number of slots limits the copies of an expert.
double MinSkew(const ExpertLoads& loads,
               const std::vector<RankCapacity>& ranks) {
  double speed = 0;
  double fastest = 0;
  std::uint32_t slot_count = 0;
  for (const RankCapacity& rank : ranks) {
    speed += rank.speed;
    fastest = std::max(fastest, rank.speed);
    slot_count += rank.slots;
  }
  double ideal_time = 0;
  double min_time = 0;
  for (std::uint32_t i = 0; i < loads.layers(); ++i) {
    const LayerIndex layer(i);
    const std::vector<std::uint32_t> copies = placement::CopyCounts(
        loads, layer, slot_count, static_cast<std::uint32_t>(ranks.size()));
    double total = 0;
    double largest_share = 0;
    for (std::uint32_t j = 0; j < loads.experts(); ++j) {
      const double load = loads[{layer, ExpertIndex(j)}];
      total += load;
      largest_share = std::max(largest_share, load / copies[j]);
    }
    ideal_time += total / speed;
    min_time += std::max(total / speed, largest_share / fastest);
  }
  return min_time > 0 ? 1 - ideal_time / min_time : 0;
}

}  // namespace bilberryspool::bench
