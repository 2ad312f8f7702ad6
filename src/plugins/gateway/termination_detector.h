// Tells a target that has ended from a connection that broke.

#ifndef PLUGINS_GATEWAY_TERMINATION_DETECTOR_H_
#define PLUGINS_GATEWAY_TERMINATION_DETECTOR_H_

#include <map>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/net/endpoint.h"
#include "libs/net/fiber_signal.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::gateway {

// A connection may break because the target ended, because a rank elsewhere in
// its group did, or on the way. Only in the first case does nobody listen at
// its address any more. Belongs to the gateway's loop.
class TerminationDetector {
 public:
  explicit TerminationDetector(net::NetworkLoop& loop) : loop_(loop) {}

  // Whether the target, a connection to which has just broken, has ended.
  // Suspends the calling fiber. Those who ask at the same moment share one
  // connection.
  bool HasTerminated(const TargetId& target, const net::Endpoint& endpoint);

 private:
  struct Check {
    TimePoint started_at;
    bool is_finished = false;
    bool has_terminated = false;
  };

  void RemoveExpired(TimePoint now);

  net::NetworkLoop& loop_;
  std::map<TargetId, Check> checks_;
  net::FiberSignal check_finished_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_TERMINATION_DETECTOR_H_
