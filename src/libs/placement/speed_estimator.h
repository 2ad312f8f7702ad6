// Distinguishes stragglers from ranks with popular experts.
//
// The time of a rank is compared with the work that it received, so a rank that
// finishes late because its experts are popular is not classified as slow.
// Otherwise experts would be moved back and forth.

#ifndef LIBS_PLACEMENT_SPEED_ESTIMATOR_H_
#define LIBS_PLACEMENT_SPEED_ESTIMATOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libs/base/time.h"
#include "libs/placement/layer_search.h"

namespace bilberryspool::placement {

struct SpeedOptions {
  std::uint32_t ranks = 0;
  double weight = 0.2;  // of a new sample in the moving average
  // Thresholds of the rate, relative to the median of all ranks.
  double slow_threshold = 0.85;      // below: gets less work
  double recovery_threshold = 0.93;  // above: a slow rank is healthy again
  // Below this for `replace_after` the rank must be replaced, as giving it less
  // work is not enough.
  double replace_threshold = 0.5;
  Duration replace_after = Seconds(300);
};

enum class RankHealth { kHealthy, kSlow, kToReplace };

// Estimates the speed of each rank from its busy time and its work.
class SpeedEstimator {
 public:
  explicit SpeedEstimator(SpeedOptions options);

  // Records that a rank was busy for `busy` with `work` tokens, its own part of
  // some steps.
  void Observe(RankIndex rank, double work, Duration busy, TimePoint now);
  // Discards the state of a rank that was replaced or restarted.
  void Reset(RankIndex rank);

  RankHealth HealthOf(RankIndex rank, TimePoint now) const;
  // Speed relative to the median; exactly 1 for a healthy rank, so that noise
  // causes no moves.
  double SpeedOf(RankIndex rank) const;
  // Capacities for the placement policy; ranks to be replaced are not usable.
  std::vector<RankCapacity> Capacities(std::uint32_t slots,
                                       TimePoint now) const;

 private:
  struct Rank {
    double rate = 0;  // tokens per busy second, smoothed; 0 before a sample
    bool slow = false;
    std::optional<TimePoint> very_slow_since;
  };

  double MedianRate() const;
  double Relative(const Rank& rank) const;

  SpeedOptions options_;
  std::vector<Rank> ranks_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_SPEED_ESTIMATOR_H_
