// Simulates a strategy over several days of the load model.

#ifndef TOOLS_PLACEMENT_BENCH_SIMULATION_H_
#define TOOLS_PLACEMENT_BENCH_SIMULATION_H_

#include <cstdint>

#include "tools/placement_bench/load_model.h"
#include "tools/placement_bench/strategies.h"

namespace bilberryspool::bench {

struct SimulationOptions {
  Drift drift = Drift::kDaily;
  std::uint32_t layers = 8;
  std::uint32_t experts = 64;
  std::uint32_t ranks = 16;
  std::uint64_t seed = 1;
  int days = 3;
  Duration half_life = Seconds(600);   // of the popularity estimate
  Duration look_ahead = Seconds(600);  // horizon of the forecast
};

struct Outcome {
  double skew_p50 = 0;  // fraction of step time lost to waiting
  double skew_p95 = 0;
  double lost_share = 0;         // the same, over all busy time
  double rank_gap_p95 = 0;       // (slowest - fastest) / slowest rank
  double min_lost = 0;           // lower bound of `lost_share`
  double moved_gigabytes = 0;    // per day
  double fetch_seconds = 0;      // time to fetch experts, per day
  double switches = 0;           // changes of the map, per day
  double move_lost_seconds = 0;  // step time lost to moves, per day
  double skew_lost_seconds = 0;  // step time lost to skew, per day
};

Outcome Simulate(const Strategy& strategy, const SimulationOptions& options);

}  // namespace bilberryspool::bench

#endif  // TOOLS_PLACEMENT_BENCH_SIMULATION_H_
