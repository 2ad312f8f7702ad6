#include "libs/placement/bounded_plan.h"

#include <algorithm>
#include <memory>
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

// The work of one layer's plan.
class LayerPlan {
 public:
  LayerPlan(const ExpertMap& map,
            const ExpertLoads& loads,
            const BoundedPlanOptions& options,
            LayerIndex layer)
      : options_(options),
        total_(TotalOf(loads, layer)),
        added_(options.ranks, 0),
        ranks_(options.ranks, {1.0, options.places, true}),
        speed_(SetSpeeds()),
        search_(map, loads, ranks_, no_rules_, layer),
        imbalance_(Imbalance()) {}

  double imbalance() const { return imbalance_; }
  bool may_improve() const {
    return !is_stuck_ && imbalance_ > options_.good_enough;
  }

  // The ranks that take in an expert by the best next move, each once for each
  // expert; empty where there is no such move.
  std::vector<RankIndex> Improve() {
    std::vector<RankIndex> takers;
    const auto move = search_.Improve();
    if (!move.has_value()) {
      is_stuck_ = true;
      return takers;
    }
    imbalance_ = Imbalance();
    for (const CopyChange& change : move->changes) {
      changes_.push_back(change);
      if (!change.adds) {
        continue;
      }
      takers.push_back(change.rank);
      if (++added_[change.rank.value()] >= options_.new_experts) {
        Close(change.rank);
      }
    }
    return takers;
  }

  // The rank takes in no more.
  void Close(RankIndex rank) { ranks_[rank.value()].usable = false; }

  const std::vector<CopyChange>& changes() const { return changes_; }

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

  double Imbalance() const {
    return total_ <= 0.0 ? 1.0 : search_.layer_time() * speed_ / total_;
  }

  const BoundedPlanOptions& options_;
  double total_;
  std::vector<std::uint32_t> added_;
  std::vector<RankCapacity> ranks_;
  double speed_;
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

// The time that the group loses from the moment at which a change without
// copies would be over, in steps of an even map.
double LossOf(const BoundedPlan& plan, const ChangeTimes& times) {
  const double copies = ToSeconds(times.copy) * plan.most_fetches;
  const double use = std::max(ToSeconds(times.horizon) - copies, 0.0);
  return copies * (1.0 + times.slowdown) * plan.imbalance_before +
         use * plan.imbalance_after;
}

void Pause(const BoundedPlanOptions& options) {
  if (options.pause) {
    options.pause();
  }
}

}  // namespace

BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options) {
  BoundedPlan plan;
  plan.map = map;
  LayerPlans layers;
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    layers.push_back(
        std::make_unique<LayerPlan>(map, loads, options, LayerIndex(i)));
    Pause(options);
  }
  plan.imbalance_before = MeanImbalance(layers);
  std::vector<std::uint32_t> added(options.ranks, 0);
  while (LayerPlan* worst = WorstOf(layers)) {
    Pause(options);
    for (const RankIndex rank : worst->Improve()) {
      const std::uint32_t count = ++added[rank.value()];
      plan.most_fetches = std::max(plan.most_fetches, count);
      if (count < options.new_experts_in_all) {
        continue;
      }
      for (const auto& layer : layers) {
        layer->Close(rank);
      }
    }
  }
  plan.imbalance_after = MeanImbalance(layers);
  for (const auto& layer : layers) {
    Apply(layer->changes(), plan);
  }
  return plan;
}

BoundedPlan PlanSoonest(const ExpertMap& map,
                        const ExpertLoads& loads,
                        BoundedPlanOptions options,
                        const ChangeTimes& times) {
  const auto first = std::max<std::uint32_t>(
      1, times.copy <= Duration::zero()
             ? options.new_experts_in_all
             : static_cast<std::uint32_t>(times.least_copies / times.copy));
  // What is so near to the aim gains little by more copies.
  const double near_enough = options.good_enough * times.near_enough;
  std::optional<BoundedPlan> best;
  for (std::uint32_t size = first;; size += first) {
    options.new_experts_in_all = size;
    BoundedPlan plan = PlanBounded(map, loads, options);
    const bool is_last = plan.most_fetches < size ||
                         plan.imbalance_after < near_enough ||
                         times.copy * (size + first) > times.longest_copies ||
                         times.copy <= Duration::zero();
    if (!best.has_value() || LossOf(plan, times) < LossOf(*best, times)) {
      best = std::move(plan);
    }
    if (is_last) {
      return *best;
    }
  }
}

}  // namespace bilberryspool::placement
