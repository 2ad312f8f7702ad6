// Whether the lock-step group behind a service works, and if not whether it is
// about to.
//
// One lost rank stops its whole group for seconds. A request that is refused
// just before the group forms anew comes back too late for its caller, and one
// that is sent there meanwhile is only refused by the engine. Groups form
// within a known time of the return of the last rank; that return shows, as a
// new target with a place in the group, as a target that was silent, or as a
// control node that was cut off and answers again.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_GROUP_AVAILABILITY_H_
#define LIBS_TRAFFIC_GROUP_AVAILABILITY_H_

#include <map>
#include <optional>

#include "libs/base/time.h"
#include "libs/traffic/target_announcement.h"

namespace bilberryspool::traffic {

enum class Availability {
  kOpen,     // works, or nothing is known to the contrary
  kForming,  // about to work
  kBroken,
};

struct GroupAvailabilityOptions {
  // From the return of the last rank until the group works: engines take 0.6 s
  // by their description, 0.38 to 0.61 s were left when the news came here, and
  // a third on top for a slow node on the way.
  Duration formation_time = Milliseconds(900);
};

class GroupAvailability {
 public:
  explicit GroupAvailability(GroupAvailabilityOptions options)
      : options_(options) {}

  // News of a target. `has_returned`: it was not known, or was silent.
  void OnAnnouncement(const TargetAnnouncement& announcement,
                      bool has_returned,
                      TimePoint now);
  // A part of the system is reachable again.
  void OnReconnected(TimePoint now);
  // A request was served there: whatever was told before, it works.
  void OnServed(const ServiceId& service);

  Availability AvailabilityOf(const ServiceId& service, TimePoint now) const;
  // While it is forming: when that is over.
  TimePoint forming_until(const ServiceId& service) const;

 private:
  struct Group {
    std::uint64_t epoch = 0;
    bool is_open = true;
    std::optional<TimePoint> returned_at;  // while it is broken
  };

  GroupAvailabilityOptions options_;
  std::map<ServiceId, std::map<GroupId, Group>> groups_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_GROUP_AVAILABILITY_H_
