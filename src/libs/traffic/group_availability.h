// Tracks whether the lock-step group behind a service is available, and if not,
// whether it is about to be.
//
// A lost rank stops its whole group for seconds. A request that is refused just
// before the group forms again is retried too late by its caller, and one that
// is sent in the meantime is refused by the engine. A group forms within a
// known time after its last rank returns. That return shows as a new target
// with a rank in the group, as a target that was silent before, or as a control
// node that was disconnected and responds again.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_GROUP_AVAILABILITY_H_
#define LIBS_TRAFFIC_GROUP_AVAILABILITY_H_

#include <map>
#include <optional>

#include "libs/base/time.h"
#include "libs/traffic/target_announcement.h"

namespace bilberryspool::traffic {

enum class Availability {
  kOpen,     // available as far as is known
  kForming,  // unavailable, about to be available
  kBroken,
};

struct GroupAvailabilityOptions {
  // Time from the return of the last rank until the group is available. Engines
  // need 0.6 s according to their description, of which 0.38 to 0.61 s were
  // left when the update arrived here; a third is added for a slow control node
  // on the way.
  Duration formation_time = Milliseconds(900);
};

class GroupAvailability {
 public:
  explicit GroupAvailability(GroupAvailabilityOptions options)
      : options_(options) {}

  // Handles an update about a target. `has_returned` says that the target was
  // unknown or silent before.
  void OnAnnouncement(const TargetAnnouncement& announcement,
                      bool has_returned,
                      TimePoint now);
  // Call when a part of the system, such as a control node, is reachable again.
  void OnReconnected(TimePoint now);
  // Call when the service has served a request. Its group is available then,
  // whatever was reported before.
  void OnServed(const ServiceId& service);

  Availability AvailabilityOf(const ServiceId& service, TimePoint now) const;
  // When the formation of a group in state kForming is expected to end.
  TimePoint forming_until(const ServiceId& service) const;

 private:
  struct Group {
    std::uint64_t epoch = 0;
    bool is_open = true;
    std::optional<TimePoint> returned_at;  // only while not open
  };

  GroupAvailabilityOptions options_;
  std::map<ServiceId, std::map<GroupId, Group>> groups_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_GROUP_AVAILABILITY_H_
