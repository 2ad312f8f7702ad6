// The best next map where a change may bring only a few new experts to each
// rank.
//
// Engines that copy weights beside their work take in a bounded number of
// experts by one change. A plan for all at once would be refused, so the map
// is brought there by several changes, each of which already gains.

#ifndef LIBS_PLACEMENT_BOUNDED_PLAN_H_
#define LIBS_PLACEMENT_BOUNDED_PLAN_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "libs/base/time.h"
#include "libs/placement/expert_loads.h"
#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

struct BoundedPlanOptions {
  std::uint32_t ranks = 0;
  std::uint32_t slots_per_layer = 0;  // of one rank in one layer
  std::uint32_t new_experts = 0;      // of one rank in one layer, by one change
  // Work per second of each rank, relative to a healthy one; empty: all 1.
  std::vector<double> speeds;
  // Experts that a rank may take in by one change, all layers together: they
  // are copied one after the other, and the change waits for the last. The
  // layer that is worst at the time gets the next one.
  std::uint32_t new_experts_all_layers = 3;
  // A layer whose imbalance is below this is left as it is: what further moves
  // gain is less than the copies cost.
  double target_imbalance = 1.08;
  // The part of the layers' time that a change must gain to be made.
  double min_gain = 0.0;
  // Called between two moves, if set: a plan for hundreds of ranks takes long,
  // and who makes it may have other work. The arguments must stay as they are.
  std::function<void()> yield_callback;
};

struct BoundedPlan {
  ExpertMap map;
  // How much longer a layer lasts, on the mean of all, than with work that is
  // spread by the ranks' speeds.
  double imbalance_before = 1.0;
  double imbalance_after = 1.0;
  std::uint32_t fetches = 0;
  // Of the rank that has to copy most.
  std::uint32_t max_rank_fetches = 0;
};

BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options);

// What a change takes, beside what it gains.
struct ChangeCosts {
  Duration copy_time{};  // of one expert; a rank copies one after the other
  // How long a map is of use: a rough time until demand shifts again.
  Duration horizon = Milliseconds(800);
  // How much longer steps last while experts are copied (engines' pages).
  double copy_slowdown = 0.15;
  // The copies of the smallest change that is looked at, in steps of which
  // larger ones are, and of the largest. Orders for a change take about 0.1 s;
  // three copies of 0.11 s were the size of all changes before.
  Duration min_copy_time = Milliseconds(115);
  Duration max_copy_time = Milliseconds(350);
  // No larger change is looked at where one brings the imbalance below this
  // multiple of what is good enough: each plan takes its time too.
  double near_target = 1.15;
};

// Of plans with so many, twice, three times as many experts to a rank, the one
// under which the group loses least time up to the horizon. Until a change is
// over the old map slows every step, so a small one that comes soon, to be
// followed by another, may beat a good one that comes late.
// `options.new_experts_all_layers` counts only where copies take no time.
BoundedPlan PlanMinTimeLoss(const ExpertMap& map,
                            const ExpertLoads& loads,
                            BoundedPlanOptions options,
                            const ChangeCosts& costs);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_BOUNDED_PLAN_H_
