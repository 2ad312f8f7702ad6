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

// `target` names one start of a back end: a restart is another target, also at
// the same address.
struct TargetAnnouncement {
  TargetId target;
  ServiceId service;
  std::string address;  // "ip:port"
  FailureDomain domain;
  std::uint32_t slots = 0;
  Standing standing = Standing::kReady;
  // Grows with each announcement of one target: a late one is told by it.
  std::uint64_t sequence = 0;
  std::optional<GroupMembership> group;

  bool operator==(const TargetAnnouncement&) const = default;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_ANNOUNCEMENT_H_
