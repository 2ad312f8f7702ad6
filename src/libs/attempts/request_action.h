// Actions that a RequestMachine asks its entry to carry out.

#ifndef LIBS_ATTEMPTS_REQUEST_ACTION_H_
#define LIBS_ATTEMPTS_REQUEST_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/attempts/messages.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

struct SendClaim {
  NodeId holder;
  ClaimRequest request;
};

// Choose a target that is not excluded; answered by TargetChosen or NoTarget.
// With an `offset` above 0 only a target that can continue an answer there is
// suitable.
struct Route {
  std::vector<TargetId> excluded;
  std::uint64_t offset = 0;
};

struct SendAttempt {
  StartAttempt start;
};

// Starts the answer to the caller.
struct RelayHead {
  int status = 0;
};

// Sends bytes to the caller; they directly follow those sent before.
struct RelayChunk {
  std::string data;
};

// Sends a settle request to the agent over a new connection.
struct SendSettle {
  SettleRequest request;
};

// Requests from the agent, over a new connection, the remaining answer of a
// running or finished attempt from `offset` on.
struct ResumeAttempt {
  AttemptRef attempt;
  std::uint64_t offset = 0;
};

// Cancels an attempt that the caller no longer needs; only for idempotent
// requests.
struct CancelAttempt {
  AttemptRef attempt;
};

enum class FinalKind {
  // The complete answer was sent, or is sent with this action.
  kAnswered,
  // Proven that it did not run. It is safe to send again, also under a new id.
  kNotRun,
  // It may have run. It is safe to send again only under the same id.
  kUnknown,
};

enum class FinalReason {
  kFinished,
  // Answered with the answer to an earlier send of the same id.
  kEarlierAnswer,
  // An earlier send was answered, but its answer is no longer kept.
  kAnswerNotKept,
  // Another send of the same id is in progress.
  kInProgress,
  kNoTarget,
  kRefusedByTargets,
  kClaimUnavailable,
  // The id is already known with another body.
  kBodyMismatch,
  kTargetLost,
  kFailedByTarget,
  kStreamBroken,
  kDeadline,
  // The entry was stalled for so long that it can't determine the outcome.
  kEntryStalled,
  kStopping,
};

// The final answer, sent exactly once for each request. `outcome` is set if an
// earlier answer is repeated. `retry_after` is a hint derived from the current
// state.
struct AnswerCaller {
  FinalKind kind = FinalKind::kUnknown;
  FinalReason reason = FinalReason::kFinished;
  Duration retry_after{};
  std::optional<Outcome> outcome;
};

struct SendRelease {
  NodeId holder;
  ReleaseClaim release;
};

struct SendFinish {
  NodeId holder;
  FinishClaim finish;
};

using RequestAction = std::variant<SendClaim,
                                   Route,
                                   SendAttempt,
                                   RelayHead,
                                   RelayChunk,
                                   SendSettle,
                                   ResumeAttempt,
                                   CancelAttempt,
                                   AnswerCaller,
                                   SendRelease,
                                   SendFinish>;

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_REQUEST_ACTION_H_
