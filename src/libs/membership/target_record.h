#ifndef LIBS_MEMBERSHIP_TARGET_RECORD_H_
#define LIBS_MEMBERSHIP_TARGET_RECORD_H_

#include <cstdint>

#include "libs/base/time.h"
#include "libs/membership/announcement.h"
#include "libs/membership/flap_damper.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

// kStale: silent together with most of its failure domain. The domain is
// considered unreachable, and the last known state is kept.
enum class Liveness { kAlive, kSuspect, kStale, kGone };

// Expected delays between updates of a target; they grow with the domain.
struct RefreshTiming {
  Duration refresh_interval{};  // between updates of a target by other entries
  Duration heartbeat_slack{};   // added delay of heartbeats in large domains

  // Time added to the timeouts for silence. Updates from other entries may be
  // two refresh intervals late.
  Duration Allowance(bool direct) const {
    return direct ? heartbeat_slack : heartbeat_slack + 2 * refresh_interval;
  }
};

// State of one target as known to an entry.
struct TargetRecord {
  Announcement announcement;
  Stamp announcement_stamp;  // origin of the description
  std::uint64_t heartbeat_number = 0;
  LoadReport load;
  TimePoint load_at;       // when the load was measured, by this clock
  TimePoint last_seen_at;  // when the agent was last seen, by this clock
  Stamp heartbeat_stamp;   // origin of the newest heartbeat shared by gossip
  TimePoint heartbeat_stamped_at;  // when `heartbeat_stamp` was last set
  bool direct = false;     // the newest heartbeat came from the agent itself
  bool suspected = false;  // heartbeats to the origin are overdue
  Liveness liveness = Liveness::kSuspect;  // until classified
  FlapDamper damper;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_TARGET_RECORD_H_
