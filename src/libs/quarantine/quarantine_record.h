// Messages between gateways and control nodes about requests that terminate
// targets.

#ifndef LIBS_QUARANTINE_QUARANTINE_RECORD_H_
#define LIBS_QUARANTINE_QUARANTINE_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>

#include "libs/base/ids.h"
#include "libs/base/target_run.h"
#include "libs/base/time.h"
#include "libs/quarantine/request_fingerprint.h"

namespace bilberryspool::quarantine {

// How a request may be sent, in order of increasing strictness.
enum class Verdict {
  kFree,
  kOneAtATime,  // one run in the whole deployment, permitted by a control node
  kRefused,
};

// State of a request, or of a prompt part, during which at least one target
// has terminated.
struct QuarantineRecord {
  RequestFingerprint request;
  ServiceId service;
  Verdict verdict = Verdict::kFree;
  // Number of terminations that count, see QuarantineRegistry.
  std::uint32_t terminations = 0;
  // Time since the first of them.
  Duration since{};
  // Time until it may be tried again; zero if it may be tried now.
  Duration remaining{};
};

// Observations of a gateway, each with its age. `request` may be the
// fingerprint of a prompt part.
struct TerminationObserved {
  RequestFingerprint request;
  // Of a prompt part: the request that had it.
  RequestFingerprint carrier;
  ServiceId service;
  TargetRun run;
  // Whether the run was permitted as the sole run of its request.
  bool was_permitted = false;
  Duration age{};
};
// A request was answered completely.
struct CompletionObserved {
  RequestFingerprint request;
  // For a prompt part, since an answer with it began: it was completed, or went
  // on for a while.
  Duration age{};
};
// The single run permitted to `requester` is over, whatever its outcome.
struct TrialOver {
  RequestFingerprint request;
  std::string requester;
};
// An operator released the request from quarantine.
struct ReleaseOrdered {
  RequestFingerprint request;
  Duration age{};
};
using Observation = std::
    variant<TerminationObserved, CompletionObserved, TrialOver, ReleaseOrdered>;

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_RECORD_H_
