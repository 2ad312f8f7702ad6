// Events that a RequestMachine handles.

#ifndef LIBS_ATTEMPTS_REQUEST_EVENT_H_
#define LIBS_ATTEMPTS_REQUEST_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/attempts/messages.h"
#include "libs/attempts/roster.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

// The request has passed the filters before routing.
struct RequestStarted {};

// Routing chose a target. `token` is the newest one that this entry has
// received from the target's agent, and recent by the entry's own clock.
// `can_continue` says that the engine can continue an answer at an offset.
struct TargetChosen {
  TargetId target;
  AdmissionToken token;
  bool can_continue = false;
};

// Routing has no target at the moment, or the retry budget is exhausted.
struct NoTarget {
  Duration retry_after{};
};

// A holder answered, or (`HolderUnreachable`) the call to it failed.
struct ClaimAnswered {
  ClaimAnswer answer;
};
struct HolderUnreachable {
  NodeId holder;
  ClaimRound round;
};

// The entry has received another roster. `holders` are the holder sets of the
// request's key under each roster that is still in effect.
struct HoldersChanged {
  std::vector<HolderSet> holders;
};

// A holder answered a release.
struct ReleaseAnswered {
  ReleaseAnswer answer;
};

// The agent handed the attempt to its engine, or reports that it is still
// running.
struct AttemptAlive {
  AttemptId attempt;
};

// The agent refused the attempt. `proven` is set if the agent confirms that the
// attempt never ran, or if the transport proves that no other process received
// a copy.
struct AttemptRefused {
  AttemptId attempt;
  RefusalReason reason = RefusalReason::kStopped;
  bool proven = false;
  Duration retry_after{};
};

// The start of the answer; `status` is the engine's.
struct AttemptHead {
  AttemptId attempt;
  int status = 0;
};

// A part of the answer; `offset` is its position in the answer in bytes.
struct AttemptChunk {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::string data;
};

// The answer is complete with `size` bytes.
struct AttemptFinished {
  AttemptId attempt;
  std::uint64_t size = 0;
};

// The engine accepted the attempt and failed; it may have had effects.
struct AttemptFailed {
  AttemptId attempt;
};

// The attempt's link broke, or carried nothing until the timeout.
struct LinkLost {
  AttemptId attempt;
};

// The agent answered a settle request, or (`SettleUnreachable`) the call to it
// failed.
struct SettleAnswered {
  SettleAnswer answer;
};
struct SettleUnreachable {
  AttemptId attempt;
};

// The caller closed its connection.
struct CallerDisconnected {};

// The entry was stalled for a long time (StallDetector): the state of the
// holders no longer proves anything about this request.
struct EntryStalled {};

// The time limit of a planned stop is reached: the request must be answered
// now.
struct StopDeadlineReached {};

// The machine's next_deadline() has been reached.
struct RequestTick {};

using RequestEvent = std::variant<RequestStarted,
                                  TargetChosen,
                                  NoTarget,
                                  ClaimAnswered,
                                  HolderUnreachable,
                                  HoldersChanged,
                                  ReleaseAnswered,
                                  AttemptAlive,
                                  AttemptRefused,
                                  AttemptHead,
                                  AttemptChunk,
                                  AttemptFinished,
                                  AttemptFailed,
                                  LinkLost,
                                  SettleAnswered,
                                  SettleUnreachable,
                                  CallerDisconnected,
                                  EntryStalled,
                                  StopDeadlineReached,
                                  RequestTick>;

// Returns the attempt that an event refers to; null if it refers to none.
const AttemptId* AttemptOf(const RequestEvent& event);

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_REQUEST_EVENT_H_
