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
// Between the first two probes; doubles with each further one.
constexpr Duration kFirstInterval = Milliseconds(10);

}  // namespace

bool TerminationDetector::HasTerminated(const TargetId& target,
                                        const net::Endpoint& endpoint,
                                        Duration max_wait) {
  const TimePoint now = SteadyNow();
  RemoveExpired(now);
  std::shared_ptr<Check>& slot = checks_[target];
  if (slot == nullptr) {
    slot = std::make_shared<Check>();
    slot->started_at = now;
    slot->next_probe = now;
    slot->interval = kFirstInterval;
  }
  const std::shared_ptr<Check> check = slot;
  const TimePoint limit = now + max_wait;
  while (!check->has_terminated) {
    if (check->is_probing) {
      probe_finished_.Wait();
      continue;
    }
    const bool is_first = check->next_probe == check->started_at;
    if (!is_first &&
        (max_wait == Duration::zero() || check->next_probe > limit)) {
      return false;
    }
    if (SteadyNow() < check->next_probe) {
      probe_finished_.WaitUntil(check->next_probe);
      continue;
    }
    Probe(*check, endpoint);
  }
  return true;
}

void TerminationDetector::Probe(Check& check, const net::Endpoint& endpoint) {
  check.is_probing = true;
  const net::PortState state = net::CheckPort(loop_, endpoint, kConnectTimeout);
  check.has_terminated = state == net::PortState::kClosed;
  check.is_probing = false;
  check.next_probe = SteadyNow() + check.interval;
  check.interval = check.interval * 2;
  probe_finished_.NotifyAll();
}

void TerminationDetector::RemoveExpired(TimePoint now) {
  std::erase_if(checks_, [now](const auto& item) {
    return now - item.second->started_at > kResultRetention;
  });
}

}  // namespace bilberryspool::gateway
