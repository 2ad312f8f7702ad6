// What follows when a target did not serve a request.

#ifndef LIBS_TRAFFIC_RELAY_RULES_H_
#define LIBS_TRAFFIC_RELAY_RULES_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::traffic {

// How one send ended, where it was not a whole success.
enum class SendResult {
  kNotSent,      // no connection: not a byte left this process
  kNotExecuted,  // the target says that it did not run it and never will
  kFailed,       // the target ran it and answered a failure
  kUnknown,      // it may have run: broke off, silent, or spoke nonsense
};

struct RelayState {
  // Whether the request may run more than once.
  bool may_repeat = false;
  SendResult last = SendResult::kNotSent;
  // Whether a send before the last one may have run it.
  bool may_have_run_before = false;
  std::uint32_t sends = 0;
  std::uint32_t allowed_sends = 1;
  Duration time_left{};
};

enum class RelayStep {
  kRetry,           // to another target
  kForwardFailure,  // the target's own failure, as it is
  kRefuse,          // not run, and never will be: say when to come back
  kFail,            // it may have run, or ran and left no answer
  kFailTimeout,     // the same, because the time is over
};

// What a caller waits for.
struct CallerWait {
  // Since the last event, or since the request came.
  Duration silent_for{};
  // Control nodes tell that the target answers nobody.
  bool is_target_unresponsive = false;
};

// Whether the caller is about to leave a target that can't be told so. The VM
// beside it is frozen or cut off: its run goes on there whatever is sent, and
// where its group stands still no other target is a better place. An answer now
// lets the caller come back while there is time; left alone, the caller leaves
// a moment later and the run goes on for nobody.
bool IsTargetLost(const CallerWait& wait);

// The rules: what may not be repeated is sent again only on proof that it did
// not run, since a caller may act twice on an answer given twice; what may
// have run is never called refused, since the caller would send it again.
RelayStep NextStep(const RelayState& state);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_RELAY_RULES_H_
