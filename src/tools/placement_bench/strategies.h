// The ways of rebalancing that are compared.

#ifndef TOOLS_PLACEMENT_BENCH_STRATEGIES_H_
#define TOOLS_PLACEMENT_BENCH_STRATEGIES_H_

#include <optional>
#include <string>
#include <variant>

#include "libs/base/time.h"
#include "libs/placement/placement_policy.h"

namespace bilberryspool::bench {

struct NeverRebalance {};
// Packs all experts anew.
struct FullRepack {
  Duration interval;
};
// Improves layers without regard to cost while the skew is above a threshold.
struct GreedyOnThreshold {
  double skew_threshold = 0.1;
};
struct PolicyStrategy {
  placement::PlacementSettings settings;
  bool forecast = false;
};

using Strategy =
    std::variant<NeverRebalance, FullRepack, GreedyOnThreshold, PolicyStrategy>;

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

// The next map, or nothing.
std::optional<placement::ExpertMap> NextMap(const Strategy& strategy,
                                            const Situation& situation);

// Copies in proportion to load, heaviest first onto the emptiest rank.
placement::ExpertMap RepackAll(const Situation& situation);

// No placement with these slots has a smaller skew.
double MinSkew(const placement::ExpertLoads& loads,
               const std::vector<placement::RankCapacity>& ranks);

}  // namespace bilberryspool::bench

#endif  // TOOLS_PLACEMENT_BENCH_STRATEGIES_H_
