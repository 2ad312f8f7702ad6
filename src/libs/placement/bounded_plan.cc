#include "libs/placement/bounded_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/placement/layer_search.h"

namespace bilberryspool::placement {

namespace {

double TotalOf(const ExpertLoads& loads, LayerIndex layer) {
  double total = 0.0;
  for (std::uint32_t e = 0; e < loads.experts(); ++e) {
    total += loads[{layer, ExpertIndex(e)}];
  }
  return total;
}

// The work of one layer's plan.
class LayerPlan {
 public:
  LayerPlan(const ExpertMap& map,
            const ExpertLoads& loads,
            const BoundedPlanOptions& options,
            const std::vector<std::uint32_t>& added_in_all,
            LayerIndex layer)
      : options_(options),
        total_(TotalOf(loads, layer)),
        added_in_all_(added_in_all),
        added_(options.ranks, 0),
        ranks_(options.ranks, {1.0, options.places, true}),
        speed_(SetSpeeds()),
        search_(map, loads, ranks_, no_rules_, layer) {
    for (std::uint32_t i = 0; i < options.ranks; ++i) {
      CloseIfFull(i);
    }
  }

  double imbalance() const {
    return total_ <= 0.0 ? 1.0 : search_.layer_time() * speed_ / total_;
  }

  void Improve() {
    while (imbalance() > options_.good_enough) {
      const auto move = search_.Improve();
      if (!move.has_value()) {
        return;
      }
      for (const CopyChange& change : move->changes) {
        changes_.push_back(change);
        if (change.adds) {
          ++added_[change.rank.value()];
          CloseIfFull(change.rank.value());
        }
      }
    }
  }

  const std::vector<CopyChange>& changes() const { return changes_; }
  const std::vector<std::uint32_t>& added() const { return added_; }

 private:
  // Before the search reads them; returns their sum.
  double SetSpeeds() {
    double sum = 0.0;
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
      if (i < options_.speeds.size()) {
        ranks_[i].speed = options_.speeds[i];
      }
      sum += ranks_[i].speed;
    }
    return sum;
  }

  // A full rank takes part no more; a move brings a rank one expert.
  void CloseIfFull(std::uint32_t rank) {
    if (added_[rank] >= options_.new_experts ||
        added_in_all_[rank] + added_[rank] >= options_.new_experts_in_all) {
      ranks_[rank].usable = false;
    }
  }

  const BoundedPlanOptions& options_;
  double total_;
  const std::vector<std::uint32_t>& added_in_all_;
  std::vector<std::uint32_t> added_;
  std::vector<RankCapacity> ranks_;
  double speed_;
  OperatorRules no_rules_;
  LayerSearch search_;
  std::vector<CopyChange> changes_;
};

}  // namespace

BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options) {
  BoundedPlan plan;
  plan.map = map;
  plan.imbalance_before = 0.0;
  plan.imbalance_after = 0.0;
  std::vector<std::uint32_t> added(options.ranks, 0);
  std::vector<std::pair<double, LayerIndex>> order;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    const LayerIndex layer(i);
    const double imbalance =
        LayerPlan(map, loads, options, added, layer).imbalance();
    plan.imbalance_before += imbalance;
    order.emplace_back(-imbalance, layer);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [negative, layer] : order) {
    LayerPlan work(map, loads, options, added, layer);
    work.Improve();
    for (const CopyChange& change : work.changes()) {
      if (change.adds) {
        plan.map.Add(change.key, change.rank);
        ++plan.fetches;
      } else {
        plan.map.Remove(change.key, change.rank);
      }
    }
    for (std::uint32_t i = 0; i < options.ranks; ++i) {
      added[i] += work.added()[i];
    }
    plan.imbalance_after += work.imbalance();
  }
  const double layers = map.layers() == 0 ? 1.0 : map.layers();
  plan.imbalance_before /= layers;
  plan.imbalance_after /= layers;
  return plan;
}

}  // namespace bilberryspool::placement
