// Distinguishes a terminated target from a broken connection.

#ifndef PLUGINS_GATEWAY_TERMINATION_DETECTOR_H_
#define PLUGINS_GATEWAY_TERMINATION_DETECTOR_H_

#include <map>
#include <memory>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/net/endpoint.h"
#include "libs/net/fiber_signal.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::gateway {

// A connection breaks because its target terminated, because a rank elsewhere
// in its group did, or because of the network. Only in the first case nothing
// listens at the address of the target any more. Used in the gateway's loop
// only.
class TerminationDetector {
 public:
  explicit TerminationDetector(net::NetworkLoop& loop) : loop_(loop) {}

  // Whether the target has terminated, given that a connection to it has just
  // broken. A target that still listens is probed again for up to `max_wait`.
  // Suspends the calling fiber. Concurrent calls for a target share their probe
  // connections.
  bool HasTerminated(const TargetId& target,
                     const net::Endpoint& endpoint,
                     Duration max_wait);

 private:
  struct Check {
    TimePoint started_at;
    TimePoint next_probe;
    Duration interval{};
    bool is_probing = false;
    bool has_terminated = false;
  };

  void Probe(Check& check, const net::Endpoint& endpoint);
  void RemoveExpired(TimePoint now);

  net::NetworkLoop& loop_;
  std::map<TargetId, std::shared_ptr<Check>> checks_;
  net::FiberSignal probe_finished_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_TERMINATION_DETECTOR_H_
