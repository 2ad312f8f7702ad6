// Tells stragglers apart from ranks with popular experts.
//
// Guards against moving experts to and fro for a rank that is slow by itself:
// its time is compared with the work that it was given, so a rank that is late
// because its experts are popular is not called slow.

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
  double weight = 0.2;               // of a new sample
  double slow_threshold = 0.85;      // of the median: gets less work
  double recovery_threshold = 0.93;  // a slow rank is healthy again
  double replace_threshold = 0.5;    // where less work is not enough
  Duration replace_after = Seconds(300);
};

enum class RankHealth { kHealthy, kSlow, kToReplace };

class SpeedEstimator {
 public:
  explicit SpeedEstimator(SpeedOptions options);

  // A rank spent `busy` on `work` tokens (its own part of some steps).
  void Observe(RankIndex rank, double work, Duration busy, TimePoint now);
  // A replaced or restarted rank is judged anew.
  void Reset(RankIndex rank);

  RankHealth HealthOf(RankIndex rank, TimePoint now) const;
  // Relative to the median; 1 for a healthy rank, so that noise moves nothing.
  double SpeedOf(RankIndex rank) const;
  // Capacities for the policy: ranks to be replaced get no new copies.
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
