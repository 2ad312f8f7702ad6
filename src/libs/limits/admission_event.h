#ifndef LIBS_LIMITS_ADMISSION_EVENT_H_
#define LIBS_LIMITS_ADMISSION_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/limits/priority.h"

namespace bilberryspool::limits {

// Identifies one arrival of a request at one entry. Chosen by the entry and
// never reused; a resend of the same RequestId is another arrival.
using AdmissionId = StrongNumber<struct AdmissionIdTag>;

// Limits of one workspace over all entries together; 0 means unlimited.
struct WorkspaceLimits {
  Workspace workspace;
  // Weight against other workspaces when capacity is contended.
  double weight = 1.0;
  double requests_per_second = 0.0;
  double request_burst = 0.0;
  double tokens_per_second = 0.0;
  double token_burst = 0.0;
  // Maximum number of concurrently running requests.
  double concurrent = 0.0;

  bool operator==(const WorkspaceLimits&) const = default;
};

// Demand of a workspace at one entry: all arrivals, including refused ones.
struct WorkspaceDemand {
  Workspace workspace;
  double requests_per_second = 0.0;

  bool operator==(const WorkspaceDemand&) const = default;
};

struct RequestArrived {
  AdmissionId id;
  ServiceId service;
  Workspace workspace;
  Priority priority = Priority::kNormal;
  // Time by which the complete answer is due.
  TimePoint deadline;
  // Tokens of prompt and answer together; 0 if unknown.
  std::uint32_t expected_tokens = 0;
};

// An admitted request has finished, whatever its outcome.
struct RequestFinished {
  AdmissionId id;
  std::uint32_t tokens = 0;
};

// The caller abandoned a queued or running request; no action follows for it.
struct RequestAbandoned {
  AdmissionId id;
};

// Number of requests of a service that this entry may run (Router::Capacity).
struct CapacityChanged {
  ServiceId service;
  std::size_t concurrent = 0;
};

// The complete set of accepted limits. Workspaces without an entry have weight
// 1 and no limits.
struct LimitsChanged {
  std::vector<WorkspaceLimits> limits;
};

// Demand summary of another entry, as returned by its
// Admission::AnnounceDemand().
struct PeerDemand {
  NodeId peer;
  std::vector<WorkspaceDemand> demands;
};

// The other entry is no longer a member.
struct PeerGone {
  NodeId peer;
};

struct Tick {};

using AdmissionEvent = std::variant<RequestArrived,
                                    RequestFinished,
                                    RequestAbandoned,
                                    CapacityChanged,
                                    LimitsChanged,
                                    PeerDemand,
                                    PeerGone,
                                    Tick>;

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_ADMISSION_EVENT_H_
