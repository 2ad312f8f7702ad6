#include "libs/placement/bounded_plan.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <optional>
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

// Plans the changes of one layer.
class LayerPlan {
 public:
  LayerPlan(const ExpertMap& map,
            const ExpertLoads& loads,
            const BoundedPlanOptions& options,
            LayerIndex layer)
      : options_(options),
        total_load_(TotalOf(loads, layer)),
        added_(options.ranks, 0),
        ranks_(options.ranks, {1.0, options.slots_per_layer, true}),
        total_speed_(SetSpeeds()),
        search_(map, loads, ranks_, no_rules_, layer),
        imbalance_(Imbalance()) {}

  double imbalance() const { return imbalance_; }
  bool may_improve() const {
    return !is_stuck_ && imbalance_ > options_.target_imbalance;
  }

  // Applies the best next move. Returns the ranks that get a new expert, once
  // per expert; empty if no move improves the layer.
  std::vector<RankIndex> Improve() {
    std::vector<RankIndex> receivers;
    const auto move = search_.Improve();
    if (!move.has_value()) {
      is_stuck_ = true;
      return receivers;
    }
    imbalance_ = Imbalance();
    for (const CopyChange& change : move->changes) {
      changes_.push_back(change);
      if (!change.adds) {
        continue;
      }
      receivers.push_back(change.rank);
      if (++added_[change.rank.value()] >= options_.new_experts) {
        StopAdding(change.rank);
      }
    }
    return receivers;
  }

  // Excludes the rank from further additions.
  void StopAdding(RankIndex rank) { ranks_[rank.value()].usable = false; }

  const std::vector<CopyChange>& changes() const { return changes_; }

 private:
  // Sets the speeds, which the search reads on construction. Returns their sum.
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

  double Imbalance() const {
    return total_load_ <= 0.0
               ? 1.0
               : search_.layer_time() * total_speed_ / total_load_;
  }

  const BoundedPlanOptions& options_;
  double total_load_;
  std::vector<std::uint32_t> added_;
  std::vector<RankCapacity> ranks_;
  double total_speed_;
  OperatorRules no_rules_;
  LayerSearch search_;
  double imbalance_;
  std::vector<CopyChange> changes_;
  bool is_stuck_ = false;
};

using LayerPlans = std::vector<std::unique_ptr<LayerPlan>>;

double MeanImbalance(const LayerPlans& layers) {
  double sum = 0.0;
  for (const auto& layer : layers) {
    sum += layer->imbalance();
  }
  return layers.empty() ? 0.0 : sum / static_cast<double>(layers.size());
}

LayerPlan* WorstOf(const LayerPlans& layers) {
  LayerPlan* worst = nullptr;
  for (const auto& layer : layers) {
    if (layer->may_improve() &&
        (worst == nullptr || layer->imbalance() > worst->imbalance())) {
      worst = layer.get();
    }
  }
  return worst;
}

void Apply(const std::vector<CopyChange>& changes, BoundedPlan& plan) {
  for (const CopyChange& change : changes) {
    if (change.adds) {
      plan.map.Add(change.key, change.rank);
      ++plan.fetches;
    } else {
      plan.map.Remove(change.key, change.rank);
    }
  }
}

// Time that the group spends up to the horizon, in units of a balanced map's
// time. It is counted from the moment at which a change without copies would be
// complete.
double TimeLossOf(const BoundedPlan& plan, const ChangeCosts& costs) {
  const double copy_seconds =
      ToSeconds(costs.copy_time) * plan.max_rank_fetches;
  const double remaining_seconds =
      std::max(ToSeconds(costs.horizon) - copy_seconds, 0.0);
  return copy_seconds * (1.0 + costs.copy_slowdown) * plan.imbalance_before +
         remaining_seconds * plan.imbalance_after;
}

void MaybeYield(const BoundedPlanOptions& options) {
  if (options.yield_callback) {
    options.yield_callback();
  }
}

double ImbalanceOf(const ExpertMap& map,
                   const ExpertLoads& loads,
                   const std::vector<double>& speeds,
                   LayerIndex layer) {
  std::vector<double> times(speeds.size(), 0.0);
  double total_load = 0.0;
  for (std::uint32_t e = 0; e < map.experts(); ++e) {
    const ExpertKey key{layer, ExpertIndex(e)};
    const auto& holders = map.holders(key);
    total_load += loads[key];
    for (const RankIndex rank : holders) {
      if (rank.value() < speeds.size()) {
        times[rank.value()] += loads[key] /
                               static_cast<double>(holders.size()) /
                               speeds[rank.value()];
      }
    }
  }
  const double total_speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
  return total_load <= 0.0 || times.empty()
             ? 1.0
             : *std::max_element(times.begin(), times.end()) * total_speed /
                   total_load;
}

}  // namespace

double MeanImbalanceOf(const ExpertMap& map,
                       const ExpertLoads& loads,
                       const BoundedPlanOptions& options) {
  std::vector<double> speeds = options.speeds;
  speeds.resize(options.ranks, 1.0);
  double sum = 0.0;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    sum += ImbalanceOf(map, loads, speeds, LayerIndex(i));
  }
  return map.layers() == 0 ? 0.0 : sum / map.layers();
}

BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options) {
  BoundedPlan plan;
  plan.map = map;
  LayerPlans layers;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    layers.push_back(
        std::make_unique<LayerPlan>(map, loads, options, LayerIndex(i)));
    MaybeYield(options);
  }
  plan.imbalance_before = MeanImbalance(layers);
  std::vector<std::uint32_t> added(options.ranks, 0);
  while (LayerPlan* worst = WorstOf(layers)) {
    MaybeYield(options);
    for (const RankIndex rank : worst->Improve()) {
      const std::uint32_t count = ++added[rank.value()];
      plan.max_rank_fetches = std::max(plan.max_rank_fetches, count);
      if (count < options.new_experts_all_layers) {
        continue;
      }
      for (const auto& layer : layers) {
        layer->StopAdding(rank);
      }
    }
  }
  plan.imbalance_after = MeanImbalance(layers);
  for (const auto& layer : layers) {
    Apply(layer->changes(), plan);
  }
  return plan;
}

BoundedPlan PlanMinTimeLoss(const ExpertMap& map,
                            const ExpertLoads& loads,
                            BoundedPlanOptions options,
                            const ChangeCosts& costs) {
  const auto first = std::max<std::uint32_t>(
      1,
      costs.copy_time <= Duration::zero()
          ? options.new_experts_all_layers
          : static_cast<std::uint32_t>(costs.min_copy_time / costs.copy_time));
  // This close to the target, more copies gain little.
  const double near_target = options.target_imbalance * costs.near_target;
  std::optional<BoundedPlan> best;
  for (std::uint32_t size = first;; size += first) {
    options.new_experts_all_layers = size;
    BoundedPlan plan = PlanBounded(map, loads, options);
    const bool is_last =
        plan.max_rank_fetches < size || plan.imbalance_after < near_target ||
        costs.copy_time * (size + first) > costs.max_copy_time ||
        costs.copy_time <= Duration::zero();
    if (!best.has_value() ||
        TimeLossOf(plan, costs) < TimeLossOf(*best, costs)) {
      best = std::move(plan);
    }
    if (is_last) {
      return *best;
    }
  }
}

}  // namespace bilberryspool::placement
