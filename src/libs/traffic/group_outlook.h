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
// A whole group may stand still too, where one of its ranks can't be reached in
// the middle of a change of map. The node that leads tells of it. Requests that
// are sent there meanwhile are left by their callers after two seconds, and the
// engines keep them until the group goes on: in a stop of 4 s the requests at
// the engines rose from 71 to 340, and steps took half as long again for six
// seconds after.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_GROUP_OUTLOOK_H_
#define LIBS_TRAFFIC_GROUP_OUTLOOK_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "libs/base/time.h"
#include "libs/traffic/target_announcement.h"

namespace bilberryspool::traffic {

enum class Outlook {
  kOpen,      // works, or nothing is known to the contrary
  kForming,   // about to work
  kStanding,  // whole, but begins no steps
  kBroken,
};

struct GroupOutlookOptions {
  // From the return of the last rank until the group works: engines take 0.6 s
  // by their description, 0.38 to 0.61 s were left when the news came here, and
  // a third on top for a slow node on the way.
  Duration forming = Milliseconds(900);
  // What a control node told of a group that stands still is forgotten after
  // this long, for the node may be gone: those that live tell it anew with each
  // answer, once a second at least.
  Duration standing_memory = Milliseconds(1600);
};

class GroupOutlook {
 public:
  explicit GroupOutlook(GroupOutlookOptions options) : options_(options) {}

  // News of a target. `has_returned`: it was not known, or was silent.
  void Note(const TargetAnnouncement& told, bool has_returned, TimePoint now);
  // A part of the system is reachable again.
  void NoteReturn(TimePoint now);
  // A request was served there: whatever was told before, it works.
  void NoteServed(const ServiceId& service);

  // The groups that the control node `source` knows to stand still now.
  void SetStanding(const std::string& source,
                   const std::set<GroupId>& groups,
                   TimePoint now);
  // A byte of an answer came from the group: it goes on.
  void NoteHeard(const GroupId& group, TimePoint now);
  bool IsStanding(const GroupId& group, TimePoint now) const;

  Outlook OutlookOf(const ServiceId& service, TimePoint now) const;
  // While it is forming: when that is over.
  TimePoint forms_until(const ServiceId& service) const;

 private:
  struct Group {
    std::uint64_t epoch = 0;
    bool is_open = true;
    std::optional<TimePoint> returned_at;  // while it is broken
  };

  GroupOutlookOptions options_;
  std::map<ServiceId, std::map<GroupId, Group>> groups_;
  struct Stop {
    TimePoint since;
    TimePoint told_at;
  };
  std::map<std::string, std::map<GroupId, Stop>> standing_;  // by source
  std::map<GroupId, TimePoint> heard_at_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_GROUP_OUTLOOK_H_
