#ifndef LIBS_MEMBERSHIP_DIRECTORY_EVENT_H_
#define LIBS_MEMBERSHIP_DIRECTORY_EVENT_H_

#include <variant>

#include "libs/membership/announcement.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

struct DirectoryTick {};

// Messages of an agent. Each is answered by exactly one ReplyToAgent.
struct AnnouncementReceived {
  Announcement announcement;
};
struct HeartbeatReceived {
  Heartbeat heartbeat;
};

struct PeerMessageReceived {
  PeerMessage message;
};

using DirectoryEvent = std::variant<DirectoryTick,
                                    AnnouncementReceived,
                                    HeartbeatReceived,
                                    PeerMessageReceived>;

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_DIRECTORY_EVENT_H_
