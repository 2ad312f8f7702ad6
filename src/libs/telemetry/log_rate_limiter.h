#ifndef LIBS_TELEMETRY_LOG_RATE_LIMITER_H_
#define LIBS_TELEMETRY_LOG_RATE_LIMITER_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::telemetry {

// Limits how many log lines of one kind are written per second.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(std::uint32_t max_lines_per_second)
      : max_lines_per_second_(max_lines_per_second) {}

  // Counts one line; returns whether it may be written.
  bool Take(TimePoint now) {
    if (now - window_start_ > Seconds(1)) {
      window_start_ = now;
      lines_in_window_ = 0;
    }
    return ++lines_in_window_ <= max_lines_per_second_;
  }

 private:
  std::uint32_t max_lines_per_second_;
  std::uint32_t lines_in_window_ = 0;
  TimePoint window_start_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_LOG_RATE_LIMITER_H_
