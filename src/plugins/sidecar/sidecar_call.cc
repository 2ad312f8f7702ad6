#include "plugins/sidecar/sidecar_call.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>

namespace bilberryspool::sidecar {

namespace {

// Default and upper bound of the requester's time limit.
constexpr Duration kMaxEngineTimeout = Milliseconds(400);

// Returns the field's value; 0 if it is missing or not a number.
std::int64_t NumberOf(const net::HttpRequest& request, std::string_view field) {
  const std::string_view text = request.headers.ValueOr(field, "");
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? number : 0;
}

}  // namespace

net::HttpRequest MakeLivenessRequest() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = kLivenessTarget;
  return request;
}

Duration TimeoutOf(const net::HttpRequest& request) {
  const std::int64_t ms = NumberOf(request, kTimeoutField);
  return ms <= 0 ? kMaxEngineTimeout
                 : std::min(Milliseconds(ms), kMaxEngineTimeout);
}

std::optional<Duration> RepeatTimeOf(const net::HttpRequest& request) {
  const std::int64_t us = NumberOf(request, kRepeatField);
  return us <= 0 ? std::nullopt : std::optional<Duration>(Microseconds(us));
}

}  // namespace bilberryspool::sidecar
