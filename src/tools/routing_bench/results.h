#ifndef TOOLS_ROUTING_BENCH_RESULTS_H_
#define TOOLS_ROUTING_BENCH_RESULTS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "tools/routing_bench/simulation.h"

namespace bilberryspool::routing_bench {

struct Percentiles {
  double p50 = 0.0;
  double p95 = 0.0;
  double p99 = 0.0;
};

// Results of the calls of one service that were sent in one phase.
struct PhaseResults {
  std::size_t calls = 0;
  // Calls answered completely by their deadline, as a fraction of all calls
  // (`answered_share`) and of the targets' capacity (`goodput`).
  double answered_share = 0.0;
  double goodput = 0.0;
  double refusals_per_call = 0.0;
  double tries_per_call = 0.0;
  // Seconds from the first try to the first token, and to the end in `total`.
  // Both and `last_try_first_token` cover the answered calls that don't have
  // background priority.
  Percentiles first_token;
  // Seconds from the try that was answered to the first token: how long the
  // caller waited without any response.
  Percentiles last_try_first_token;
  Percentiles total;
  // Jain's index of the workspaces' ratios of answered calls to their max-min
  // fair share.
  double fairness = 0.0;
};

PhaseResults SummarizePhase(const Simulation& run,
                            std::size_t phase,
                            std::size_t service);

// Seconds from the start of the last phase to the first of three consecutive
// seconds in which 95% of the calls without background priority are answered in
// time and their p95 first token is at most 1.5 times that of the first phase.
// No value if the service doesn't recover.
std::optional<double> SecondsToRecover(const Simulation& run,
                                       std::size_t service);

// A figure over all seeds.
struct SeedSummary {
  double median = 0.0;
  double min = 0.0;
  double max = 0.0;
};

SeedSummary SummarizeSeeds(std::vector<double> values);

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_RESULTS_H_
