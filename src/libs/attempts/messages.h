// Messages between entries and holders (claims) and between entries and agents
// (attempts and settling). Their JSON form is in messages_json.h.

#ifndef LIBS_ATTEMPTS_MESSAGES_H_
#define LIBS_ATTEMPTS_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "libs/attempts/attempt_ids.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

// The result of work that ran. `body` is absent if the answer was too large or
// is no longer kept.
struct Outcome {
  int status = 0;
  std::optional<std::string> body;

  bool operator==(const Outcome&) const = default;
};

// Proof that the claim of `from` may pass to another send: the agent has
// settled that the last attempt of `from`, made in round `through`, did not run
// and never will. All earlier attempts were settled by `from` itself.
struct Takeover {
  Claimant from;
  ClaimRound through;

  bool operator==(const Takeover&) const = default;
};

// Entry to holder: asks for the claim on `key`. Repeating it has no further
// effect. Without `attempt` the claim only proves that nothing has run so far.
struct ClaimRequest {
  RequestKey key;
  Fingerprint fingerprint;
  Claimant claimant;
  ClaimRound round;
  std::optional<AttemptRef> attempt;
  RosterVersion roster;
  std::optional<Takeover> takeover;

  bool operator==(const ClaimRequest&) const = default;
};

struct ClaimGranted {
  bool operator==(const ClaimGranted&) const = default;
};

// Another send of the same key has the claim; `attempt` is its last attempt,
// made in `round`.
struct ClaimHeld {
  Claimant claimant;
  ClaimRound round;
  std::optional<AttemptRef> attempt;

  bool operator==(const ClaimHeld&) const = default;
};

struct ClaimFinished {
  Outcome outcome;

  bool operator==(const ClaimFinished&) const = default;
};

enum class AbstainReason { kRestarted, kFull, kStaleRoster, kStopped };

// The holder does not vote, for `retry_after` at least.
struct ClaimAbstained {
  AbstainReason reason = AbstainReason::kRestarted;
  Duration retry_after{};

  bool operator==(const ClaimAbstained&) const = default;
};

// The key is already known with another fingerprint.
struct ClaimMismatch {
  bool operator==(const ClaimMismatch&) const = default;
};

using ClaimVerdict = std::variant<ClaimGranted,
                                  ClaimHeld,
                                  ClaimFinished,
                                  ClaimAbstained,
                                  ClaimMismatch>;

// Holder to entry. `claimant` and `round` are copied from the request.
struct ClaimAnswer {
  RequestKey key;
  Claimant claimant;
  ClaimRound round;
  NodeId holder;
  ClaimVerdict verdict;

  bool operator==(const ClaimAnswer&) const = default;
};

// Entry to holder: nothing ran under this claim and nothing will. With
// `closing` no other send gets the claim for a short time, in which the caller
// is answered; without it the claim is free.
struct ReleaseClaim {
  RequestKey key;
  Claimant claimant;
  ClaimRound round;
  bool closing = false;

  bool operator==(const ReleaseClaim&) const = default;
};

// Holder to entry: whether the claimant still had the claim when it was
// released.
struct ReleaseAnswer {
  ReleaseClaim release;
  NodeId holder;
  bool released = false;

  bool operator==(const ReleaseAnswer&) const = default;
};

// Entry to holder: the work under this claim has finished.
struct FinishClaim {
  RequestKey key;
  Claimant claimant;
  Outcome outcome;

  bool operator==(const FinishClaim&) const = default;
};

// Entry to agent: run this once. `offset` is the byte offset at which the
// answer continues; 0 for a complete answer.
struct StartAttempt {
  AttemptRef attempt;
  RequestKey key;
  NodeId entry;
  std::uint64_t offset = 0;

  bool operator==(const StartAttempt&) const = default;
};

enum class RefusalReason {
  kExpiredToken,
  kOtherIncarnation,
  kTombstone,
  kOverCapacity,
  // The engine has asked for a pause; `retry_after` is what is left of it.
  kPaused,
  kMemoryFull,
  kLeaving,
  kStopped,
};

// Agent to entry: this copy of the attempt was not started. It is proof that no
// copy ever ran or will run only if `never_ran` is set. `token` is the agent's
// current one, for further attempts.
struct AttemptRefusal {
  AttemptId attempt;
  RefusalReason reason = RefusalReason::kStopped;
  bool never_ran = false;
  AdmissionToken token;
  Duration retry_after{};

  bool operator==(const AttemptRefusal&) const = default;
};

// Entry to agent: asks for the state of an attempt. With `forbid` a later
// arrival of the attempt is refused; without it the request changes nothing.
struct SettleRequest {
  AttemptRef attempt;
  bool forbid = true;

  bool operator==(const SettleRequest&) const = default;
};

// It did not run and never will.
struct SettledNotRun {
  bool operator==(const SettledNotRun&) const = default;
};
struct SettledRunning {
  bool operator==(const SettledRunning&) const = default;
};
struct SettledFinished {
  Outcome outcome;

  bool operator==(const SettledFinished&) const = default;
};
// Not received so far; only sent in answer to a request without `forbid`.
struct SettledNotSeen {
  bool operator==(const SettledNotSeen&) const = default;
};
// This incarnation can't determine the state.
struct SettledUnknown {
  bool operator==(const SettledUnknown&) const = default;
};

using SettleState = std::variant<SettledNotRun,
                                 SettledRunning,
                                 SettledFinished,
                                 SettledNotSeen,
                                 SettledUnknown>;

// Agent to entry.
struct SettleAnswer {
  AttemptId attempt;
  SettleState state;

  bool operator==(const SettleAnswer&) const = default;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_MESSAGES_H_
