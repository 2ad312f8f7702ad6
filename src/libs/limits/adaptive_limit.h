#ifndef LIBS_LIMITS_ADAPTIVE_LIMIT_H_
#define LIBS_LIMITS_ADAPTIVE_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::limits {

struct AdaptiveLimitOptions {
  double min = 1.0;
  double max = 512.0;
  // Ratio of latency to baseline up to which no queueing is assumed.
  double tolerance = 2.0;
  // Weight of a new limit against the current one.
  double smoothing = 0.2;
  // The baseline is the minimum latency of the last one to two windows.
  Duration baseline_window = Seconds(30);
  // Factor applied to the limit after a timeout or a "busy" answer.
  double decrease = 0.8;
  // At most one decrease per interval, since one incident can fail many
  // requests.
  Duration decrease_interval = Milliseconds(200);
};

// Adaptive limit on the number of requests that one entry runs at one target.
// It grows while first tokens arrive about as fast as at the baseline, and
// shrinks when requests queue at the target. Guards against fixed limits that
// become wrong when the model, the prompts or the number of entries change.
class AdaptiveLimit {
 public:
  // Starts with the number of slots that the target declares.
  AdaptiveLimit(AdaptiveLimitOptions options, std::uint32_t slots);

  // Records a first token after `latency`, with `in_flight` requests of this
  // entry at the time.
  void Observe(Duration latency, std::size_t in_flight, TimePoint now);
  // Records a timeout or a "busy" answer of the target.
  void OnOverload(TimePoint now);

  // In requests, at least 1.
  std::size_t limit() const;
  // The minimum recent latency; 0 before the first observation.
  Duration baseline() const { return baseline_; }

 private:
  void UpdateBaseline(Duration latency, TimePoint now);

  AdaptiveLimitOptions options_;
  double limit_;
  Duration baseline_{0};
  // Minimum latency of the current window.
  Duration window_min_latency_{0};
  TimePoint window_start_;
  TimePoint last_decrease_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_ADAPTIVE_LIMIT_H_
