#ifndef LIBS_LIMITS_ADAPTIVE_LIMIT_H_
#define LIBS_LIMITS_ADAPTIVE_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::limits {

struct AdaptiveLimitOptions {
  double min = 1.0;
  double max = 512.0;
  // Latency over the baseline that is no sign of queueing yet.
  double tolerance = 2.0;
  // Weight of a new limit against the present one.
  double smoothing = 0.2;
  // The baseline is the least latency of the last one to two windows.
  Duration baseline_window = Seconds(30);
  // Factor on a timeout or a "busy" answer.
  double decrease = 0.8;
  // At most one decrease in this time: one incident ends many requests.
  Duration decrease_interval = Milliseconds(200);
};

// How many requests one entry may have at one target, from what the target
// shows: grows while first tokens come as fast as at its best, shrinks when
// they queue. Guards against constants that are wrong after the model, the
// prompts or the number of entries changed.
class AdaptiveLimit {
 public:
  // Starts at the target's own number of slots.
  AdaptiveLimit(AdaptiveLimitOptions options, std::uint32_t slots);

  // A first token after `latency`, with `in_flight` own requests at the time.
  void Observe(Duration latency, std::size_t in_flight, TimePoint now);
  // A timeout, or "busy" from the target.
  void OnOverload(TimePoint now);

  // In requests, at least 1.
  std::size_t limit() const;
  // The least recent latency; 0 before the first.
  Duration baseline() const { return baseline_; }

 private:
  void UpdateBaseline(Duration latency, TimePoint now);

  AdaptiveLimitOptions options_;
  double limit_;
  Duration baseline_{0};
  // Least latency of the present window.
  Duration window_min_latency_{0};
  TimePoint window_start_;
  TimePoint last_decrease_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_ADAPTIVE_LIMIT_H_
