// What gateways and control nodes tell each other of requests that end targets.

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

// How a request may be sent, in the order of strictness.
enum class Verdict {
  kFree,
  kOneAtATime,  // one run in the whole deployment, by leave of a control node
  kRefused,
};

// A request that one target at least has ended under.
struct QuarantineRecord {
  RequestFingerprint request;
  ServiceId service;
  Verdict verdict = Verdict::kFree;
  // Terminations that count, see QuarantineRegistry.
  std::uint32_t terminations = 0;
  // Since the first of them.
  Duration since{};
  // Until it may be tried again; zero where it may be now.
  Duration remaining{};
};

// A gateway's observations, each with its age.
struct TerminationObserved {
  RequestFingerprint request;
  ServiceId service;
  TargetRun run;
  // The run had leave to be the only one of its request.
  bool was_permitted = false;
  Duration age{};
};
struct CompletionObserved {
  RequestFingerprint request;
  Duration age{};
};
// The one run that `asker` was allowed is over, whatever its outcome.
struct TrialOver {
  RequestFingerprint request;
  std::string requester;
};
// An operator lets the request pass.
struct ReleaseOrdered {
  RequestFingerprint request;
  Duration age{};
};
using Observation = std::
    variant<TerminationObserved, CompletionObserved, TrialOver, ReleaseOrdered>;

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_RECORD_H_
