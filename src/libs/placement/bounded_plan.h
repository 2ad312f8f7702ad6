// Plans the next expert map when one map change may add only a few experts to
// each rank.
//
// Engines that copy weights while they serve requests accept a bounded number
// of new experts per change and refuse larger ones. The final map is therefore
// reached through several changes, each of which is an improvement by itself.

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
  std::uint32_t slots_per_layer = 0;  // experts that a rank holds in one layer
  // Maximum number of experts added to one rank in one layer by one change.
  std::uint32_t new_experts = 0;
  // Work per second of each rank, relative to a healthy rank. If empty, all
  // speeds are 1.
  std::vector<double> speeds;
  // Maximum number of experts added to one rank in all layers together by one
  // change. A rank copies experts one after the other, and the change completes
  // with the last copy. Each move goes to the layer that has the largest
  // imbalance at that point.
  std::uint32_t new_experts_all_layers = 3;
  // Layers with an imbalance below this are not changed: further moves gain
  // less than the copies cost.
  double target_imbalance = 1.08;
  // Minimum gain of a change, as a fraction of the layers' time. Applied by the
  // caller.
  double min_gain = 0.0;
  // If set, called between moves so that the caller can do other work while a
  // plan for hundreds of ranks is computed. It must not change the arguments of
  // the planning function.
  std::function<void()> yield_callback;
};

struct BoundedPlan {
  ExpertMap map;
  // Time of a layer relative to the time with work distributed in proportion to
  // the speeds of the ranks; mean over all layers.
  double imbalance_before = 1.0;
  double imbalance_after = 1.0;
  std::uint32_t fetches = 0;  // copies of all ranks
  // Number of copies of the rank that has the most.
  std::uint32_t max_rank_fetches = 0;
};

// Time of a layer relative to the time with work distributed in proportion to
// the speeds of the ranks; mean over all layers. Far cheaper than a plan.
double MeanImbalanceOf(const ExpertMap& map,
                       const ExpertLoads& loads,
                       const BoundedPlanOptions& options);

// Plans one change by greedy moves within the limits of `options`.
BoundedPlan PlanBounded(const ExpertMap& map,
                        const ExpertLoads& loads,
                        const BoundedPlanOptions& options);

// Cost model of a map change.
struct ChangeCosts {
  Duration copy_time{};  // of one expert; a rank copies experts sequentially
  // Time over which a map is useful: a rough estimate of the time until demand
  // shifts again.
  Duration horizon = Milliseconds(800);
  // Relative increase of the step time while experts are copied, as documented
  // for the engines.
  double copy_slowdown = 0.15;
  // Copy time per rank of the smallest and of the largest change considered;
  // the sizes in between are multiples of the smallest. The orders for a change
  // take about 0.1 s, so much smaller changes do not pay. The largest one
  // allows three copies of 0.11 s.
  Duration min_copy_time = Milliseconds(115);
  Duration max_copy_time = Milliseconds(350);
  // Larger changes are not considered once a plan brings the imbalance below
  // this multiple of `target_imbalance`, as each plan takes time to compute.
  double near_target = 1.15;
};

// Computes plans with increasing numbers of new experts per rank and returns
// the one that minimizes the time that the group loses up to the horizon. The
// old map slows down every step until a change is complete, so a small early
// change followed by another one can be better than a large late one.
// `options.new_experts_all_layers` is used only if copies take no time.
BoundedPlan PlanMinTimeLoss(const ExpertMap& map,
                            const ExpertLoads& loads,
                            BoundedPlanOptions options,
                            const ChangeCosts& costs);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_BOUNDED_PLAN_H_
