#ifndef LIBS_MEMBERSHIP_TARGET_RECORD_H_
#define LIBS_MEMBERSHIP_TARGET_RECORD_H_

#include <cstdint>

#include "libs/base/time.h"
#include "libs/membership/announcement.h"
#include "libs/membership/flap_damper.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

// kStale: silent together with most of its failure domain, so the domain is
// taken to be cut off and the last known state is kept.
enum class Liveness { kAlive, kSuspect, kStale, kGone };

// How rarely news of each target come in a domain of the present size.
struct RefreshTiming {
  Duration
      refresh_interval{};  // between two accounts of a target by other entries
  Duration heartbeat_slack{};  // that heartbeats may be late beyond the usual

  // What is granted beyond the timeouts before silence counts.
  Duration Allowance(bool direct) const {
    return direct ? heartbeat_slack : heartbeat_slack + 2 * refresh_interval;
  }
};

// All that an entry knows of one target.
struct TargetRecord {
  Announcement announcement;
  Stamp announcement_stamp;  // who first heard the description
  std::uint64_t heartbeat_number = 0;
  LoadReport load;
  TimePoint load_at;       // when the load was measured, by this entry's time
  TimePoint last_seen_at;  // when the agent was heard, by this entry's time
  Stamp heartbeat_stamp;   // who first heard the newest heartbeat told on
  TimePoint heartbeat_stamped_at;  // when that heartbeat was last numbered for
                                   // the others
  bool direct = false;     // the newest heartbeat came from the agent itself
  bool suspected = false;  // whoever heard it last has missed heartbeats
  Liveness liveness = Liveness::kSuspect;  // until judged
  FlapDamper damper;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_TARGET_RECORD_H_
