#include "plugins/sidecar/sidecar_call.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>

namespace bilberryspool::sidecar {

namespace {

// Default and upper bound of the requester's time limit.
constexpr Duration kMaxEngineTimeout = Milliseconds(400);

}  // namespace

net::HttpRequest MakeLivenessRequest() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = kLivenessTarget;
  return request;
}

Duration TimeoutOf(const net::HttpRequest& request) {
  const std::string_view text = request.headers.ValueOr(kTimeoutField, "");
  std::int64_t ms = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (parsed.ec != std::errc() || ms <= 0) {
    return kMaxEngineTimeout;
  }
  return std::min(Milliseconds(ms), kMaxEngineTimeout);
}

}  // namespace bilberryspool::sidecar
