// Ids and counters that identify claims and attempts.

#ifndef LIBS_ATTEMPTS_ATTEMPT_IDS_H_
#define LIBS_ATTEMPTS_ATTEMPT_IDS_H_

#include <cstdint>
#include <tuple>

#include "libs/base/ids.h"
#include "libs/base/strong_type.h"

namespace bilberryspool::attempts {

// Digest of a request's method, path and body. The same request id with another
// body is an error of the caller, not a resend.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;
// Period of an agent's own clock; tokens of old epochs are refused.
using Epoch = StrongNumber<struct EpochTag>;
// Incremented when an agent invalidates all its tokens at once.
using TokenGeneration = StrongNumber<struct TokenGenerationTag>;
// Counts the claims of one incarnation of an entry.
using ClaimNumber = StrongNumber<struct ClaimNumberTag>;
// Counts the rounds of one claim; each attempt is made in a round of its own.
using ClaimRound = StrongNumber<struct ClaimRoundTag>;
// Version of the roster of entries from which holders are chosen.
using RosterVersion = StrongNumber<struct RosterVersionTag>;

// Identifies a request of a caller; all resends of it carry the same key.
struct RequestKey {
  Workspace workspace;
  RequestId request;

  bool operator==(const RequestKey&) const = default;
  bool operator<(const RequestKey& other) const {
    return std::tie(workspace, request) <
           std::tie(other.workspace, other.request);
  }
};

// Identifies one send of a request, on behalf of which an entry asks for a
// claim.
struct Claimant {
  NodeId entry;
  Incarnation incarnation;
  ClaimNumber number;

  auto operator<=>(const Claimant&) const = default;
};

// Permission to start attempts, issued by the agent itself. It proves that the
// sender recently received a message from this incarnation of the agent.
struct AdmissionToken {
  Incarnation incarnation;
  TokenGeneration generation;
  Epoch epoch;

  bool operator==(const AdmissionToken&) const = default;
  // Whether it was issued before `other`.
  bool operator<(const AdmissionToken& other) const {
    return std::tie(incarnation, generation, epoch) <
           std::tie(other.incarnation, other.generation, other.epoch);
  }
};

// One attempt, its target and the token to start it with.
struct AttemptRef {
  AttemptId attempt;
  TargetId target;
  AdmissionToken token;

  bool operator==(const AttemptRef&) const = default;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_ATTEMPT_IDS_H_
