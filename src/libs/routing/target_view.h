#ifndef LIBS_ROUTING_TARGET_VIEW_H_
#define LIBS_ROUTING_TARGET_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::routing {

// State of a target in the membership. Only targets in kServing get new work.
enum class TargetState : std::uint8_t {
  kServing,
  kDraining,
  kLeaving,
  // No announcement was received for too long.
  kStale,
};

// A load report of a target, in numbers of requests.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  // Number of requests that the agent found its engine able to run concurrently
  // (limits::AdaptiveLimit); 0 if not reported, then the slots count.
  std::uint32_t limit = 0;
  // Age of the figures when the report arrived here.
  Duration age{0};
};

// The properties of a target that an entry learns from membership and gossip.
struct TargetView {
  TargetId target;
  FailureDomain domain;
  // Services whose model is loaded and ready.
  std::vector<ServiceId> services;
  // Adapters loaded in addition to the models.
  std::vector<std::string> adapters;
  // Number of requests that the target runs concurrently.
  std::uint32_t slots = 1;
  TargetState state = TargetState::kServing;
  LoadReport load;
  // Below 1 while the target's group is being changed, is degraded, or is
  // slowed down by a straggler. 0 excludes the target from choices.
  double group_weight = 1.0;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_TARGET_VIEW_H_
