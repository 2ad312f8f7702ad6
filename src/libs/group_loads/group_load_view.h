// What a gateway knows about the loads of lock-step groups, and the choice of a
// group for a request.
//
// All ranks of a group step together, so a request slows down its whole group,
// whichever rank runs it. The group is therefore chosen first, with a
// probability proportional to its free room: all gateways get the same loads,
// and if each chose the emptiest group, it would be full by the next report.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_GROUP_LOADS_GROUP_LOAD_VIEW_H_
#define LIBS_GROUP_LOADS_GROUP_LOAD_VIEW_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/time.h"
#include "libs/group_loads/group_load.h"

namespace bilberryspool::group_loads {

struct GroupLoadViewOptions {
  // Loads are used for this long after they were received.
  Duration freshness = Milliseconds(1500);
  // A group that refused a request because a rank is missing is not chosen for
  // this long.
  Duration refusal_pause = Milliseconds(400);
  // The load is extrapolated by its last change, at most by this part of the
  // room: a burst goes on between two reports.
  double max_trend = 0.2;
  // Groups are weighed by their free room, with this part of the room in
  // addition: loads are known with a delay, and the less room is free, the more
  // a small difference would swing the choice from one group to the other.
  double extra_room = 0.25;
  // Minimum weight of an open group, as a part of its room.
  double min_weight = 0.02;
};

class GroupLoadView {
 public:
  explicit GroupLoadView(GroupLoadViewOptions options) : options_(options) {}

  // Replaces the loads that the control node `source` reported.
  void OnReported(const std::string& source,
                  const std::vector<GroupLoad>& loads,
                  TimePoint now);
  // Sets which part of the ranks of each group may get requests: those in
  // evacuated failure domains and those that leave may not. A group that is not
  // named has none.
  void SetUsableShares(std::map<GroupId, double> shares) {
    usable_shares_ = std::move(shares);
  }
  // A target refused a request because another rank of its group is missing.
  void OnGroupRefused(const GroupId& group, TimePoint now);
  // This gateway has sent a request to a rank of the group.
  void OnSent(const GroupId& group);

  // Part of the room of the open groups of `service` that is in use; above 1 if
  // there are more requests than room. Nothing if that is not known.
  std::optional<double> FractionOf(const ServiceId& service,
                                   TimePoint now) const;
  // Whether a fresh report says that the group steps; nothing if there is none.
  std::optional<bool> IsOpen(const GroupId& group, TimePoint now) const;
  // Whether the service has more than one group with a fresh report.
  bool HasSeveralGroups(const ServiceId& service, TimePoint now) const;
  // Chooses an open group. `draw` is a uniform random number in [0, 1). Nothing
  // if no open group is known.
  std::optional<GroupId> Choose(const ServiceId& service,
                                double draw,
                                TimePoint now) const;

 private:
  struct Group {
    GroupLoad load;
    std::string source;
    TimePoint received_at;
    // Requests that this gateway has sent there since the report.
    std::uint32_t sent = 0;
    // Increase of the requests since the report before, as a part of the room.
    double trend = 0.0;
    TimePoint refused_until;
  };

  // The room for requests of this gateway's choice.
  double RoomOf(const Group& group) const;
  bool IsFresh(const Group& group, TimePoint now) const;
  bool MayChoose(const Group& group, TimePoint now) const;

  GroupLoadViewOptions options_;
  std::map<GroupId, Group> groups_;
  std::map<GroupId, double> usable_shares_;
};

}  // namespace bilberryspool::group_loads

#endif  // LIBS_GROUP_LOADS_GROUP_LOAD_VIEW_H_
