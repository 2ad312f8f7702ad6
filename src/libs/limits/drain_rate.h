#ifndef LIBS_LIMITS_DRAIN_RATE_H_
#define LIBS_LIMITS_DRAIN_RATE_H_

#include <cstddef>
#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::limits {

// Estimates the run time of the requests of one service, and from it how fast
// the queue drains while `capacity` requests run concurrently.
class DrainRate {
 public:
  // `initial` is assumed until requests have finished.
  explicit DrainRate(Duration initial);

  void Observe(Duration run_time, std::uint32_t tokens);

  // Expected run time of a request with this number of expected tokens (0:
  // unknown).
  Duration RunTime(std::uint32_t tokens) const;
  // Expected time until `ahead` requests have left a queue served by
  // `capacity` slots.
  Duration TimeToDrain(double ahead, double capacity) const;

 private:
  double mean_seconds_;
  double mean_tokens_ = 0.0;
  std::uint64_t observed_ = 0;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_DRAIN_RATE_H_
