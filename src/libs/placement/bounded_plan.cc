#include "libs/placement/bounded_plan.h"

#include <numeric>

#include "libs/placement/layer_search.h"

namespace bilberryspool::placement {

namespace {

// How many times as long as with even ranks the layer lasts.
double ImbalanceOf(const LayerSearch& search, double total, std::size_t ranks) {
  return total <= 0.0
             ? 1.0
             : search.layer_time() * static_cast<double>(ranks) / total;
}

}  // namespace

BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options) {
  BoundedPlan plan;
  plan.map = map;
  plan.imbalance_before = 0.0;
  plan.imbalance_after = 0.0;
  const OperatorRules no_rules;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    const LayerIndex layer(i);
    double total = 0.0;
    for (std::uint32_t e = 0; e < map.experts(); ++e) {
      total += loads[{layer, ExpertIndex(e)}];
    }
    std::vector<RankCapacity> ranks(options.ranks,
                                    {1.0, options.places, true});
    std::vector<std::uint32_t> added(options.ranks, 0);
    LayerSearch search(map, loads, ranks, no_rules, layer);
    plan.imbalance_before += ImbalanceOf(search, total, ranks.size());
    while (ImbalanceOf(search, total, ranks.size()) > options.good_enough) {
      const auto move = search.Improve();
      if (!move.has_value()) {
        break;
      }
      for (const CopyChange& change : move->changes) {
        if (!change.adds) {
          plan.map.Remove(change.key, change.rank);
          continue;
        }
        plan.map.Add(change.key, change.rank);
        ++plan.fetches;
        // A full rank takes part no more; a move brings a rank one expert.
        if (++added[change.rank.value()] >= options.new_experts) {
          ranks[change.rank.value()].usable = false;
        }
      }
    }
    plan.imbalance_after += ImbalanceOf(search, total, ranks.size());
  }
  const double layers = map.layers() == 0 ? 1.0 : map.layers();
  plan.imbalance_before /= layers;
  plan.imbalance_after /= layers;
  return plan;
}

}  // namespace bilberryspool::placement
