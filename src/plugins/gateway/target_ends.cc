#include "plugins/gateway/target_ends.h"

#include "libs/net/network_loop.h"
#include "libs/net/port_check.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

namespace {

// The request waits for it before it is sent on.
constexpr Duration kPatience = Milliseconds(100);
// The requests of one target break within this time of each other. Shorter
// than any start of a process takes, which would listen again.
constexpr Duration kMemory = Milliseconds(500);

}  // namespace

bool TargetEnds::HasEnded(const TargetId& target,
                          const net::Endpoint& endpoint) {
  const TimePoint now = SteadyNow();
  Forget(now);
  const auto [found, is_new] = checks_.try_emplace(target);
  if (!is_new) {
    const TimePoint limit = found->second.begun + kMemory;
    while (checks_.count(target) > 0 && !checks_[target].is_over &&
           SteadyNow() < limit) {
      over_.WaitUntil(limit);
    }
    const auto check = checks_.find(target);
    return check != checks_.end() && check->second.has_ended;
  }
  found->second.begun = now;
  const net::PortState state = net::CheckPort(loop_, endpoint, kPatience);
  Check& check = checks_[target];
  check.is_over = true;
  check.has_ended = state == net::PortState::kClosed;
  const bool has_ended = check.has_ended;
  over_.NotifyAll();
  return has_ended;
}

void TargetEnds::Forget(TimePoint now) {
  std::erase_if(checks_, [now](const auto& item) {
    return item.second.is_over && now - item.second.begun > kMemory;
  });
}

}  // namespace bilberryspool::gateway
