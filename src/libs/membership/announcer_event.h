#ifndef LIBS_MEMBERSHIP_ANNOUNCER_EVENT_H_
#define LIBS_MEMBERSHIP_ANNOUNCER_EVENT_H_

#include <string>
#include <variant>

#include "libs/membership/announcement.h"

namespace bilberryspool::membership {

struct AnnouncerTick {};

// The description changed. Its target, node, claim, state and sequence are
// ignored.
struct DescriptionChanged {
  Announcement description;
};

// The target enters `state`; ignored once it is leaving.
struct StateChanged {
  TargetState state = TargetState::kServing;
};

struct LoadMeasured {
  LoadReport load;
};

struct ReplyReceived {
  std::string entry;  // address of the entry that responded
  AnnounceReply reply;
};

using AnnouncerEvent = std::variant<AnnouncerTick,
                                    DescriptionChanged,
                                    StateChanged,
                                    LoadMeasured,
                                    ReplyReceived>;

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_ANNOUNCER_EVENT_H_
