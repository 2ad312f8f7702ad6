// A seeded model of how popular experts are through the days.

#ifndef TOOLS_PLACEMENT_BENCH_LOAD_MODEL_H_
#define TOOLS_PLACEMENT_BENCH_LOAD_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/placement/expert_loads.h"

namespace bilberryspool::bench {

enum class Drift {
  kDaily,       // each expert rises and falls with the hour; constants are
                // chosen on this one
  kProgrammes,  // held out: topics change with the programme, on the hour
  kJumps,       // held out: sudden shifts at random times, kept for good
  kWander,      // held out: a random walk without any daily shape
};

const char* NameOf(Drift drift);

class LoadModel {
 public:
  LoadModel(Drift drift,
            std::uint32_t layers,
            std::uint32_t experts,
            std::uint64_t seed);

  // Goes on by `step` and returns the loads there; times rise.
  const placement::ExpertLoads& Advance(Duration time, Duration step);
  // Share of time in which the group is busy.
  static double UtilizationAt(Duration time);

 private:
  void Jump(std::size_t layer);
  double Factor(std::size_t expert, Duration time) const;

  Drift drift_;
  std::uint32_t experts_;
  Random random_;
  std::vector<double> base_;   // by layer, then expert
  std::vector<double> phase_;  // share of a day
  std::vector<double> amplitude_;
  std::vector<double> random_walk_;
  std::vector<std::uint32_t> topic_;
  placement::ExpertLoads loads_;
};

}  // namespace bilberryspool::bench

#endif  // TOOLS_PLACEMENT_BENCH_LOAD_MODEL_H_
