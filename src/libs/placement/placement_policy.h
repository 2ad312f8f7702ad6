// Decides which expert copies to move and in which order, or to move none.
//
// Balances two costs: step time lost to skew, as every step takes as long as
// its slowest rank, and disruption by moves that do not pay off before the
// popularity of the experts changes again. Performs no I/O; equal inputs give
// equal decisions.

#ifndef LIBS_PLACEMENT_PLACEMENT_POLICY_H_
#define LIBS_PLACEMENT_PLACEMENT_POLICY_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/time.h"
#include "libs/placement/expert_loads.h"
#include "libs/placement/expert_map.h"
#include "libs/placement/layer_search.h"

namespace bilberryspool::placement {

struct PlacementSettings {
  // Weights of a second of step time gained and of a second of fetching.
  double skew_weight = 1;
  double move_weight = 1;
  // Time over which a move is expected to pay off.
  Duration horizon = Seconds(1800);
  // A plan must gain more than its cost by this fraction, so that small changes
  // of the loads do not move experts back and forth.
  double hysteresis = 0.2;
  // Plans that save less than this fraction of the step time are not executed.
  double min_gain = 0.01;
  // Factors by which fetches are more expensive at the group's peak and in a
  // quiet window.
  double peak_factor = 3;
  double quiet_factor = 10;
  std::uint32_t max_fetches = 512;          // of one plan
  std::uint32_t max_fetches_per_rank = 64;  // staged next to the current ones
  std::uint32_t max_moves_per_layer = 6;

  // For a service whose answers are time-critical at peaks.
  static PlacementSettings LatencySensitive();
  // For a service that cannot afford repeated disruption.
  static PlacementSettings DisruptionSensitive();
};

struct PlacementInput {
  ExpertMap map;                    // in force
  ExpertLoads loads;                // expected over the horizon
  std::vector<RankCapacity> ranks;  // by rank
  OperatorRules rules;
  double seconds_per_fetch = 0.05;  // from the weight store's rate
  double utilization = 1;           // fraction of time in which steps run
  std::uint32_t fetches_in_flight = 0;
  TimePoint last_change;
  Duration min_interval = Seconds(60);  // between two plans
  bool at_peak = false;
  bool quiet_window = false;
  bool forced = false;  // an operator requests the best plan at any cost
};

struct NoMove {
  std::string why;
  double skew = 0;
};

struct MovePlan {
  std::vector<Move> moves;  // in this order
  ExpertMap map;            // after all of them
  double skew_before = 0;   // fraction of step time lost to waiting, 0 to 1
  double skew_after = 0;
  double fetch_seconds = 0;
  std::string why;
};

using Decision = std::variant<NoMove, MovePlan>;

Decision DecidePlacement(const PlacementInput& input,
                         const PlacementSettings& settings,
                         TimePoint now);

// Fraction of step time lost to waiting for the slowest rank of each layer.
double SkewOf(const ExpertMap& map,
              const ExpertLoads& loads,
              const std::vector<RankCapacity>& ranks);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_PLACEMENT_POLICY_H_
