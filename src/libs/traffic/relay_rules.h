// Decides what to do after a target did not serve a request.

#ifndef LIBS_TRAFFIC_RELAY_RULES_H_
#define LIBS_TRAFFIC_RELAY_RULES_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::traffic {

// How a send ended that was not fully successful.
enum class SendResult {
  kNotSent,      // no connection; not a byte was sent
  kNotExecuted,  // the target did not run it and never will
  kFailed,       // the target ran it and responded with a failure
  kUnknown,      // may have run: disconnected, silent or invalid response
};

struct RelayState {
  // Whether the request may run more than once.
  bool may_repeat = false;
  SendResult last = SendResult::kNotSent;
  // Whether a send before the last one may have run the request.
  bool may_have_run_before = false;
  std::uint32_t sends = 0;
  std::uint32_t allowed_sends = 1;
  Duration time_left{};
};

enum class RelayStep {
  kRetry,           // send to another target
  kForwardFailure,  // forward the target's own failure unchanged
  kRefuse,          // not run and never will be; tell when to retry
  kFail,            // may have run, or has run without a response
  kFailTimeout,     // as kFail, because the deadline has passed
};

// The state of a caller that waits for a response.
struct CallerWait {
  // Time since the last event, or since the request arrived.
  Duration silent_for{};
  // Control nodes report that the target responds to nobody, or probes of this
  // gateway found so.
  bool is_target_unresponsive = false;
};

// Whether the caller is about to disconnect from a target that cannot be
// notified of it because the VM beside it is frozen or disconnected. The run
// continues there whatever is sent, and if its group is stalled, no other
// target is better. A response now lets the caller retry while there is time;
// without one, the caller disconnects a moment later and the run continues for
// nobody.
bool IsTargetLost(const CallerWait& wait);

// Returns the next step. A request that may not be repeated is only sent again
// if it provably did not run, because the caller may act on both responses. A
// request that may have run is never reported as refused, because the caller
// would send it again.
RelayStep NextStep(const RelayState& state);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_RELAY_RULES_H_
