#ifndef LIBS_MEMBERSHIP_ANNOUNCER_ACTION_H_
#define LIBS_MEMBERSHIP_ANNOUNCER_ACTION_H_

#include <string>
#include <variant>

#include "libs/membership/announcement.h"

namespace bilberryspool::membership {

struct SendAnnouncement {
  std::string entry;  // peer address
  Announcement announcement;
};

struct SendHeartbeat {
  std::string entry;
  Heartbeat heartbeat;
};

// Another live process holds this identity with a greater claim. The agent
// accepts no more work and reports this in its log and to the operator.
struct IdentityLost {
  Claim holder;
};

using AnnouncerAction =
    std::variant<SendAnnouncement, SendHeartbeat, IdentityLost>;

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_ANNOUNCER_ACTION_H_
