#include "libs/net/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace bilberryspool::net {

namespace {

constexpr double kMaxSeconds = 24.0 * 3600.0;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

std::optional<Duration> ReadRetryAfter(std::string_view text) {
  double seconds = 0.0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, seconds);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end &&
                         std::isfinite(seconds) && seconds >= 0.0;
  if (!is_number) {
    return std::nullopt;
  }
  return Microseconds(static_cast<std::int64_t>(std::min(seconds, kMaxSeconds) *
                                                kMicrosecondsPerSecond));
}

}  // namespace bilberryspool::net
