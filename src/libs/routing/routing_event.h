#ifndef LIBS_ROUTING_ROUTING_EVENT_H_
#define LIBS_ROUTING_ROUTING_EVENT_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/routing/target_view.h"

namespace bilberryspool::routing {

// A target was announced, or one of its properties changed.
struct TargetUpdated {
  TargetView view;
};

// A target is no longer a member.
struct TargetRemoved {
  TargetId target;
};

// A load report that came by gossip or with a response.
struct LoadReported {
  TargetId target;
  LoadReport load;
};

// This entry sends an attempt to a target. Must be handled right after
// Choose(), so that the next choice counts the attempt.
struct AttemptStarted {
  AttemptId attempt;
  TargetId target;
  ServiceId service;
  // As in RouteRequest. From the first token on, the target is assumed to have
  // these prefixes cached, without waiting for its cache events.
  std::vector<std::uint64_t> prefix_hashes;
};

// The first token of a response; for plain services, the first byte.
struct FirstToken {
  AttemptId attempt;
};

enum class AttemptOutcome : std::uint8_t {
  kSucceeded,
  // The target or its engine responded with an error of its own.
  kFailed,
  kTimedOut,
  // The connection to the target was lost.
  kDisconnected,
  // The target reported that it did not run the request because it is
  // overloaded. Not counted as a failure.
  kRefusedBusy,
  // The caller disconnected or the request itself was invalid. Tells nothing
  // about the target.
  kCancelled,
};

// The end of an attempt. Each started attempt gets exactly one; further ones
// are ignored.
struct AttemptFinished {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kSucceeded;
  // The load reported with the response.
  std::optional<LoadReport> load;
};

enum class CacheState : std::uint8_t { kPresent, kEvicted };

// A target's engine has cached, or has evicted, a prompt prefix. These events
// are late and incomplete, so they are only hints.
struct CacheHint {
  TargetId target;
  std::uint64_t prefix_hash = 0;
  CacheState state = CacheState::kPresent;
};

// The targets that operators allow to serve a service.
struct Placement {
  ServiceId service;
  // If set, `targets` is ignored.
  bool every_target = false;
  std::vector<TargetId> targets;
};

// One-way delay between two failure domains, in both directions.
struct DomainDistance {
  FailureDomain first;
  FailureDomain second;
  Duration delay{0};
};

// The accepted configuration; replaces the previous one entirely. A service
// without a placement is unknown.
struct ConfigChanged {
  std::vector<Placement> placements;
  std::vector<DomainDistance> distances;
};

using RoutingEvent = std::variant<TargetUpdated,
                                  TargetRemoved,
                                  LoadReported,
                                  AttemptStarted,
                                  FirstToken,
                                  AttemptFinished,
                                  CacheHint,
                                  ConfigChanged>;

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_ROUTING_EVENT_H_
