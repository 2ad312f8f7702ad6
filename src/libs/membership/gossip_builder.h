// Builds the messages of a gossip exchange from the tables of an entry.

#ifndef LIBS_MEMBERSHIP_GOSSIP_BUILDER_H_
#define LIBS_MEMBERSHIP_GOSSIP_BUILDER_H_

#include <cstddef>

#include "libs/base/time.h"
#include "libs/membership/gossip.h"
#include "libs/membership/peer_table.h"
#include "libs/membership/summary_table.h"
#include "libs/membership/target_table.h"

namespace bilberryspool::membership {

// Tables from which a message is built. They must outlive the call.
struct GossipSources {
  const PeerTable* peers = nullptr;
  const TargetTable* targets = nullptr;
  const SummaryTable* summaries = nullptr;
};

// Without `detail` the digest contains only the versions of the summaries.
GossipDigest BuildDigest(const GossipSources& sources, bool detail);

// Returns the updates that the sender of `digest` does not have, limited to
// about `row_limit` rows. Updates of one origin are included completely or not
// at all, so that the receiver's counters never skip a row that was omitted.
GossipDelta BuildDelta(const GossipSources& sources,
                       const GossipDigest& digest,
                       bool detail,
                       std::size_t row_limit,
                       TimePoint now);

AnnouncementUpdate ToAnnouncementUpdate(const TargetRecord& record,
                                        TimePoint now);
HeartbeatUpdate ToHeartbeatUpdate(const TargetRecord& record, TimePoint now);

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_GOSSIP_BUILDER_H_
