#include "plugins/gateway/termination_detector.h"

#include "libs/net/network_loop.h"
#include "libs/net/port_check.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

namespace {

// Short, as the request waits for the result before it is sent again.
constexpr Duration kConnectTimeout = Milliseconds(100);
// The connections of all requests at a target break within this time of each
// other. Shorter than any start of the process, after which the address is
// listened on again.
constexpr Duration kResultRetention = Milliseconds(500);

}  // namespace

bool TerminationDetector::HasTerminated(const TargetId& target,
                                        const net::Endpoint& endpoint) {
  const TimePoint now = SteadyNow();
  RemoveExpired(now);
  const auto [found, is_new] = checks_.try_emplace(target);
  if (!is_new) {
    const TimePoint limit = found->second.started_at + kResultRetention;
    while (checks_.count(target) > 0 && !checks_[target].is_finished &&
           SteadyNow() < limit) {
      check_finished_.WaitUntil(limit);
    }
    const auto check = checks_.find(target);
    return check != checks_.end() && check->second.has_terminated;
  }
  found->second.started_at = now;
  const net::PortState state = net::CheckPort(loop_, endpoint, kConnectTimeout);
  Check& check = checks_[target];
  check.is_finished = true;
  check.has_terminated = state == net::PortState::kClosed;
  const bool has_terminated = check.has_terminated;
  check_finished_.NotifyAll();
  return has_terminated;
}

void TerminationDetector::RemoveExpired(TimePoint now) {
  std::erase_if(checks_, [now](const auto& item) {
    return item.second.is_finished &&
           now - item.second.started_at > kResultRetention;
  });
}

}  // namespace bilberryspool::gateway
