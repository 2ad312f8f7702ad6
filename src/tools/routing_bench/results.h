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

// What the calls of one service sent in one phase came to.
struct PhaseResults {
  std::size_t calls = 0;
  // Answered whole by their deadline, as a share of all calls, and of what
  // the targets could carry.
  double answered_share = 0.0;
  double goodput = 0.0;
  double refusals_per_call = 0.0;
  double tries_per_call = 0.0;
  // Seconds from the first try, of the answered calls that aren't background.
  Percentiles first_token;
  // The same from the try that was answered: how long that caller heard
  // nothing.
  Percentiles last_try_first_token;
  Percentiles total;
  // Jain's index over each workspace's answers against its max-min fair part.
  double fairness = 0.0;
};

PhaseResults SummarizePhase(const Simulation& run,
                            std::size_t phase,
                            std::size_t service);

// Seconds from the start of the last phase until, for three seconds in a row,
// 95% of the calls that aren't background are answered in time and their p95
// first token is within 1.5 of that of the first phase. Nothing where that
// never comes.
std::optional<double> SecondsToRecover(const Simulation& run,
                                       std::size_t service);

struct SeedSummary {
  double median = 0.0;
  double min = 0.0;
  double max = 0.0;
};

SeedSummary SummarizeSeeds(std::vector<double> values);

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_RESULTS_H_
