#ifndef LIBS_MEMBERSHIP_DIRECTORY_ACTION_H_
#define LIBS_MEMBERSHIP_DIRECTORY_ACTION_H_

#include <string>
#include <variant>

#include "libs/membership/announcement.h"
#include "libs/membership/domain_watch.h"
#include "libs/membership/gossip.h"
#include "libs/membership/target_record.h"

namespace bilberryspool::membership {

struct ReplyToAgent {
  TargetId target;
  AnnounceReply reply;
};

struct SendToPeer {
  std::string address;  // "ip:port" of the entry
  PeerMessage message;
};

// Two live processes claimed the same target; to be reported to the operator.
struct ReportConflict {
  Announcement winner;
  Announcement loser;
};

// For logs and metrics; also indicates that the routing snapshot is outdated.
struct TargetChanged {
  TargetId target;
  TargetState state = TargetState::kJoining;
  Liveness liveness = Liveness::kAlive;
};

struct DomainChanged {
  DomainState state;
};

using DirectoryAction = std::variant<ReplyToAgent,
                                     SendToPeer,
                                     ReportConflict,
                                     TargetChanged,
                                     DomainChanged>;

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_DIRECTORY_ACTION_H_
