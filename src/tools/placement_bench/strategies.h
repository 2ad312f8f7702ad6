// The rebalancing strategies that are compared.

#ifndef TOOLS_PLACEMENT_BENCH_STRATEGIES_H_
#define TOOLS_PLACEMENT_BENCH_STRATEGIES_H_

#include <optional>
#include <string>
#include <variant>

#include "libs/base/time.h"
#include "libs/placement/placement_policy.h"

namespace bilberryspool::bench {

struct NeverRebalance {};
// Packs all experts again at a fixed interval.
struct FullRepack {
  Duration interval;
};
// Improves each layer, regardless of cost, while the skew is above a threshold.
struct GreedyOnThreshold {
  double skew_threshold = 0.1;
};
// The cost-aware policy of libs/placement, on estimated or forecast loads.
struct PolicyStrategy {
  placement::PlacementSettings settings;
  bool forecast = false;
};

using Strategy =
    std::variant<NeverRebalance, FullRepack, GreedyOnThreshold, PolicyStrategy>;

// What a strategy knows when it decides.
struct Situation {
  const placement::ExpertMap& map;
  const placement::ExpertLoads& estimate;
  const placement::ExpertLoads& forecast;
  const std::vector<placement::RankCapacity>& ranks;
  double utilization;
  double seconds_per_fetch;
  TimePoint last_change;
  TimePoint now;
};

// The map to change to, or nothing if the present one stays.
std::optional<placement::ExpertMap> NextMap(const Strategy& strategy,
                                            const Situation& situation);

// Assigns copies in proportion to load and places the heaviest first, each on
// the least loaded rank.
placement::ExpertMap RepackAll(const Situation& situation);

// Lower bound of the skew of any placement with these slots.
double MinSkew(const placement::ExpertLoads& loads,
               const std::vector<placement::RankCapacity>& ranks);

}  // namespace bilberryspool::bench

#endif  // TOOLS_PLACEMENT_BENCH_STRATEGIES_H_
