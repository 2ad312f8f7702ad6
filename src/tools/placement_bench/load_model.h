// A seeded model of the popularity of experts over several days.

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
  kDaily,       // tuning set, the only one for the policy's constants: each
                // expert's load follows a daily sine
  kProgrammes,  // held out: the topic changes with the programme, on the hour
  kJumps,       // held out: sudden, lasting shifts at random times
  kWander,      // held out: a random walk without a daily pattern
};

const char* NameOf(Drift drift);

class LoadModel {
 public:
  LoadModel(Drift drift,
            std::uint32_t layers,
            std::uint32_t experts,
            std::uint64_t seed);

  // Advances the model by `step` to `time` and returns the loads there. Times
  // must increase from call to call.
  const placement::ExpertLoads& Advance(Duration time, Duration step);
  // Fraction of the time during which the group is busy.
  static double UtilizationAt(Duration time);

 private:
  void Jump(std::size_t layer);
  double Factor(std::size_t expert, Duration time) const;

  Drift drift_;
  std::uint32_t experts_;
  Random random_;
  // The vectors are indexed by layer, then expert.
  std::vector<double> base_;
  std::vector<double> phase_;  // fraction of a day
  std::vector<double> amplitude_;
  std::vector<double> random_walk_;
  std::vector<std::uint32_t> topic_;
  placement::ExpertLoads loads_;
};

}  // namespace bilberryspool::bench

#endif  // TOOLS_PLACEMENT_BENCH_LOAD_MODEL_H_
