// The best next map where a change may bring only a few new experts to each
// rank.
//
// Engines that copy weights beside their work take in a bounded number of
// experts by one change. A plan for all at once would be refused, so the map
// is brought there by several changes, each of which already gains.

#ifndef LIBS_PLACEMENT_BOUNDED_PLAN_H_
#define LIBS_PLACEMENT_BOUNDED_PLAN_H_

#include <cstdint>
#include <vector>

#include "libs/placement/expert_loads.h"
#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

struct BoundedPlanOptions {
  std::uint32_t ranks = 0;
  std::uint32_t places = 0;       // of one rank in one layer
  std::uint32_t new_experts = 0;  // of one rank in one layer, by one change
  // Work per second of each rank, relative to a healthy one; empty: all 1.
  std::vector<double> speeds;
  // Experts that a rank may take in by one change, all layers together: they
  // are copied one after the other, and the change waits for the last. Layers
  // that gain most go first.
  std::uint32_t new_experts_in_all = 3;
  // A layer whose imbalance is below this is left as it is: what further moves
  // gain is less than the copies cost.
  double good_enough = 1.08;
};

struct BoundedPlan {
  ExpertMap map;
  // How much longer a layer lasts, on the mean of all, than with work that is
  // spread by the ranks' speeds.
  double imbalance_before = 1.0;
  double imbalance_after = 1.0;
  std::uint32_t fetches = 0;
};

BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_BOUNDED_PLAN_H_
