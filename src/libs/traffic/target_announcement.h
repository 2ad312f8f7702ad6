// What a target says of itself, and how the system sees it.

#ifndef LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_
#define LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/ids.h"

namespace bilberryspool::traffic {

// In the order in which one start of a target passes through them; none goes
// back.
enum class Standing {
  kReady,
  kLeaving,  // finishes what it has; takes no new work
  kGone,     // ended, or never to be used again
};

// The place of a target in a group that runs in lock-step.
struct GroupMembership {
  GroupId group;
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  std::uint32_t size = 0;
  bool is_open = false;

  bool operator==(const GroupMembership&) const = default;
};

// `target` names a back end. A restart may be another target, also at the same
// address, or the same one as a later incarnation, which knows nothing of what
// the earlier one ran or was ordered.
struct TargetAnnouncement {
  TargetId target;
  // The start that speaks; later starts have higher ones as long as the clock
  // of its VM does not step back. 0: not told.
  Incarnation incarnation;
  ServiceId service;
  std::string address;  // "ip:port"
  FailureDomain domain;
  std::uint32_t slots = 0;
  Standing standing = Standing::kReady;
  // Grows with each announcement of one incarnation: a late one is told by it.
  std::uint64_t sequence = 0;
  std::optional<GroupMembership> group;

  bool operator==(const TargetAnnouncement&) const = default;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_
