#include "libs/limits/drain_rate.h"

#include <algorithm>

namespace bilberryspool::limits {
namespace {

// Minimum weight of a new observation.
constexpr double kSmoothing = 0.05;
// Bounds of the ratio of a run time to the mean.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4.0;
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 3600.0;

Duration FromSeconds(double seconds) {
  const double bounded = std::min(seconds, kMaxSeconds);
  return Duration(static_cast<Duration::rep>(bounded * 1e6));
}

}  // namespace

DrainRate::DrainRate(Duration initial)
    : mean_seconds_(std::max(kMinSeconds, ToSeconds(initial))) {}

void DrainRate::Observe(Duration run_time, std::uint32_t tokens) {
  ++observed_;
  const double share =
      std::max(kSmoothing, 1.0 / static_cast<double>(observed_));
  mean_seconds_ += share * (ToSeconds(run_time) - mean_seconds_);
  mean_seconds_ = std::max(mean_seconds_, kMinSeconds);
  mean_tokens_ += share * (static_cast<double>(tokens) - mean_tokens_);
}

Duration DrainRate::RunTime(std::uint32_t tokens) const {
  double factor = 1.0;
  if (tokens > 0 && mean_tokens_ > 0.0) {
    factor = std::clamp(tokens / mean_tokens_, kMinFactor, kMaxFactor);
  }
  return FromSeconds(mean_seconds_ * factor);
}

Duration DrainRate::TimeToDrain(double ahead, double capacity) const {
  return FromSeconds(ahead * mean_seconds_ / std::max(capacity, 0.01));
}

}  // namespace bilberryspool::limits
