#include "libs/limits/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace bilberryspool::limits {
namespace {

constexpr double kMinGradient = 0.5;
// Fraction of the limit that must be in use before it grows.
constexpr double kMinUtilization = 0.9;

}  // namespace

AdaptiveLimit::AdaptiveLimit(AdaptiveLimitOptions options, std::uint32_t slots)
    : options_(options),
      limit_(std::clamp(static_cast<double>(slots), options.min, options.max)) {
}

void AdaptiveLimit::Observe(Duration latency,
                            std::size_t in_flight,
                            TimePoint now) {
  if (latency <= Duration(0)) {
    return;
  }
  UpdateBaseline(latency, now);
  const double ratio =
      options_.tolerance * ToSeconds(baseline_) / ToSeconds(latency);
  const double gradient = std::clamp(ratio, kMinGradient, 1.0);
  // Allows a little queueing, so that the limit can discover a higher rate.
  const double room = std::sqrt(limit_);
  const double wanted = limit_ * gradient + room;
  // A limit that isn't used gives no evidence for a higher one.
  if (wanted > limit_ &&
      static_cast<double>(in_flight) < kMinUtilization * std::floor(limit_)) {
    return;
  }
  const double next =
      (1.0 - options_.smoothing) * limit_ + options_.smoothing * wanted;
  limit_ = std::clamp(next, options_.min, options_.max);
}

void AdaptiveLimit::OnOverload(TimePoint now) {
  if (now - last_decrease_ < options_.decrease_interval) {
    return;
  }
  last_decrease_ = now;
  limit_ = std::max(options_.min, limit_ * options_.decrease);
}

std::size_t AdaptiveLimit::limit() const {
  return static_cast<std::size_t>(std::max(1.0, std::floor(limit_)));
}

void AdaptiveLimit::UpdateBaseline(Duration latency, TimePoint now) {
  if (baseline_ == Duration(0)) {
    baseline_ = latency;
    window_min_latency_ = latency;
    window_start_ = now;
    return;
  }
  window_min_latency_ = std::min(window_min_latency_, latency);
  baseline_ = std::min(baseline_, latency);
  if (now - window_start_ < options_.baseline_window) {
    return;
  }
  // A target that has become slower permanently needs a new baseline.
  baseline_ = window_min_latency_;
  window_min_latency_ = latency;
  window_start_ = now;
}

}  // namespace bilberryspool::limits
