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

// A load report by gossip or carried on an answer.
struct LoadReported {
  TargetId target;
  LoadReport load;
};

// This entry sends an attempt to a target. To be handled right after Choose,
// so that the next choice counts it.
struct AttemptStarted {
  AttemptId attempt;
  TargetId target;
  ServiceId service;
  // As in RouteRequest. The target is taken to cache them from its first token
  // on, without waiting for its cache events.
  std::vector<std::uint64_t> prefix_hashes;
};

// The first token, or the first byte of a plain service's answer.
struct FirstToken {
  AttemptId attempt;
};

enum class AttemptOutcome : std::uint8_t {
  kSucceeded,
  // The target or its engine answered with an error of its own.
  kFailed,
  kTimedOut,
  // The link to the target broke.
  kDisconnected,
  // The target said "not run": too much to do. No sign of a fault.
  kRefusedBusy,
  // The caller left, or a fault of the request itself. Says nothing of the
  // target.
  kCancelled,
};

// The end of an attempt; each started one gets exactly one. Later ones are
// ignored.
struct AttemptFinished {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kSucceeded;
  // The load that the target put on its answer.
  std::optional<LoadReport> load;
};

enum class CacheState : std::uint8_t { kPresent, kEvicted };

// A target's engine holds, or has dropped, the cache of a prompt prefix.
// Comes late and with gaps, hence only a hint.
struct CacheHint {
  TargetId target;
  std::uint64_t prefix_hash = 0;
  CacheState state = CacheState::kPresent;
};

// The targets that operators let serve a service.
struct Placement {
  ServiceId service;
  // Where set, `targets` is not looked at.
  bool every_target = false;
  std::vector<TargetId> targets;
};

// One-way delay between two failure domains, in both directions.
struct DomainDistance {
  FailureDomain first;
  FailureDomain second;
  Duration delay{0};
};

// The accepted configuration, whole. A service without placement is unknown.
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
