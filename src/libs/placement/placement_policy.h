// Decides which expert copies to move, in which order, or that nothing pays.
//
// Guards against two losses: step time lost to skew, as every step lasts as
// long as its slowest rank, and disruption by moves that don't pay before
// popularity has drifted on. Pure: equal inputs give equal decisions.

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
  // What a second of step time gained, and a second of fetching, are worth.
  double skew_weight = 1;
  double move_weight = 1;
  // How long a move is expected to go on paying.
  Duration horizon = Seconds(1800);
  // A plan must gain this much more than it costs, so that small changes of
  // the loads don't move experts to and fro.
  double hysteresis = 0.2;
  // Plans that save less than this share of the step time are left alone.
  double min_gain = 0.01;
  // How much more a move must gain at the group's peak and in a quiet window.
  double peak_factor = 3;
  double quiet_factor = 10;
  std::uint32_t max_fetches = 512;          // of one plan
  std::uint32_t max_fetches_per_rank = 64;  // staged beside what is in use
  std::uint32_t max_moves_per_layer = 6;

  // For a service whose answers are due at a peak.
  static PlacementSettings LatencySensitive();
  // For a service that can't afford repeated disruption.
  static PlacementSettings DisruptionSensitive();
};

struct PlacementInput {
  ExpertMap map;                    // in force
  ExpertLoads loads;                // expected over the horizon
  std::vector<RankCapacity> ranks;  // by rank
  OperatorRules rules;
  double seconds_per_fetch = 0.05;  // from the weight store's rate
  double utilization = 1;           // share of time in which steps run
  std::uint32_t fetches_in_flight = 0;
  TimePoint last_change;
  Duration min_interval = Seconds(60);  // between two plans
  bool at_peak = false;
  bool quiet_window = false;
  bool forced = false;  // an operator wants the best plan whatever it costs
};

struct NoMove {
  std::string why;
  double skew = 0;
};

struct MovePlan {
  std::vector<Move> moves;  // in this order
  ExpertMap map;            // after all of them
  double skew_before = 0;   // share of step time lost to waiting, 0 to 1
  double skew_after = 0;
  double fetch_seconds = 0;
  std::string why;
};

using Decision = std::variant<NoMove, MovePlan>;

Decision DecidePlacement(const PlacementInput& input,
                         const PlacementSettings& settings,
                         TimePoint now);

// Share of step time lost to waiting for the slowest rank of each layer.
double SkewOf(const ExpertMap& map,
              const ExpertLoads& loads,
              const std::vector<RankCapacity>& ranks);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_PLACEMENT_POLICY_H_
