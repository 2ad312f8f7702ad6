// Events and actions of a group controller.

#ifndef LIBS_GROUPS_CONTROLLER_EVENT_H_
#define LIBS_GROUPS_CONTROLLER_EVENT_H_

#include <string>
#include <variant>

#include "libs/base/time.h"
#include "libs/groups/group_message.h"

namespace bilberryspool::groups {

// The replicated configuration has granted this process the group's controller
// lease until `until`. `token` is higher than that of any earlier lease. A
// longer lease with the same token is a renewal; its `record` is ignored.
struct LeaseGranted {
  FencingToken token;
  TimePoint until;
  MapRecord record;
};
struct LeaseLost {};
// The replicated configuration has accepted the `RecordMap` of this version.
struct MapRecorded {
  MapVersion version;
};
// The placement policy or an operator requests another map.
struct MapChosen {
  placement::ExpertMap map;
};
struct StatusReceived {
  RankStatus status;
};
struct ControllerTick {};

using ControllerEvent = std::variant<LeaseGranted,
                                     LeaseLost,
                                     MapRecorded,
                                     MapChosen,
                                     StatusReceived,
                                     ControllerTick>;

struct SendOrder {
  RankIndex rank;
  Order order;
};
// The replicated configuration accepts it only while `token` is that of the
// newest lease and `record.version` is higher than the recorded one. Repeated
// until `MapRecorded` arrives or the lease ends.
struct RecordMap {
  FencingToken token;
  MapRecord record;
};
struct GroupStateChanged {
  GroupState state = GroupState::kOut;
  std::string why;
};
// The ranks can't hold the requested map; nothing was changed.
struct MapRefused {
  std::string why;
};

using ControllerAction =
    std::variant<SendOrder, RecordMap, GroupStateChanged, MapRefused>;

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_CONTROLLER_EVENT_H_
