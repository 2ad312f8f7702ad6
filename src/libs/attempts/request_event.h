// What can happen to one request on its entry.

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

// Routing chose a target. `token` is the newest that this entry has heard from
// the target's agent, recently by its own clock. `can_continue` says that the
// engine can take up an answer at an offset.
struct TargetChosen {
  TargetId target;
  AdmissionToken token;
  bool can_continue = false;
};

// Routing has no target now; also where retries are out of budget.
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

// The entry has learned of another roster; the holders of the request's key
// under each one that counts.
struct HoldersChanged {
  std::vector<HolderSet> holders;
};

// A holder answered a release.
struct ReleaseAnswered {
  ReleaseAnswer answer;
};

// The agent handed the attempt to its engine, or says that it is still at it.
struct AttemptAlive {
  AttemptId attempt;
};

// The agent refused the attempt. `proven` holds where the agent vouches for
// it, or where the transport proves that no other process got a copy.
struct AttemptRefused {
  AttemptId attempt;
  RefusalReason reason = RefusalReason::kStopped;
  bool proven = false;
  Duration retry_after{};
};

// The answer begins; `status` is the engine's.
struct AttemptHead {
  AttemptId attempt;
  int status = 0;
};

// A part of the answer; `offset` counts bytes from its beginning.
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

// The engine took the attempt and failed it; it may have had effects.
struct AttemptFailed {
  AttemptId attempt;
};

// The link of the attempt broke, or carried nothing for too long.
struct LinkLost {
  AttemptId attempt;
};

// The agent answered a question (Settle), or the call to it failed.
struct SettleAnswered {
  SettleAnswer answer;
};
struct SettleUnreachable {
  AttemptId attempt;
};

// The caller's connection ended.
struct CallerDisconnected {};

// The entry stood still for long (StallDetector): what the holders remember
// proves nothing about this request any more.
struct EntryStalled {};

// The stated limit of a planned stop is reached: answer now.
struct StopDeadlineReached {};

// The machine's next_deadline() has come.
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

// The attempt that an event speaks of; null where it speaks of none.
const AttemptId* AttemptOf(const RequestEvent& event);

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_REQUEST_EVENT_H_
