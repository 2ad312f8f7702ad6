// What a target announces about itself.

#ifndef LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_
#define LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/ids.h"
#include "libs/base/target_run.h"

namespace bilberryspool::traffic {

// Lifecycle state of a target. One incarnation passes through the states in
// this order and never goes back.
enum class Standing {
  kReady,
  kLeaving,  // finishes its requests; takes no new ones
  kGone,     // terminated, or not to be used any more
};

// The rank of a target in a group that runs in lock-step.
struct GroupMembership {
  GroupId group;
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  std::uint32_t size = 0;
  bool is_open = false;

  bool operator==(const GroupMembership&) const = default;
};

// After a restart there may be a different target, possibly at the same
// address, or the same target with a later incarnation. A later incarnation
// does not know what the earlier one ran or which orders it received.
struct TargetAnnouncement {
  TargetId target;
  // The start of the target that sent this. Later starts have higher
  // incarnations unless the clock of the target's VM steps back. 0 if not
  // reported.
  Incarnation incarnation;
  ServiceId service;
  std::string address;  // "ip:port"
  FailureDomain domain;
  std::uint32_t slots = 0;
  Standing standing = Standing::kReady;
  // Increases with each announcement of one incarnation, so that late
  // announcements are recognized.
  std::uint64_t sequence = 0;
  std::optional<GroupMembership> group;
  // The target has just started, or has lost what it had in memory, and
  // tolerates few requests per second.
  bool is_cold = false;

  TargetRun run() const { return {target, incarnation}; }

  bool operator==(const TargetAnnouncement&) const = default;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_
