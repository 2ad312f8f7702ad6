// Builds the messages of an exchange out of an entry's tables.

#ifndef LIBS_MEMBERSHIP_GOSSIP_BUILDER_H_
#define LIBS_MEMBERSHIP_GOSSIP_BUILDER_H_

#include <cstddef>

#include "libs/base/time.h"
#include "libs/membership/gossip.h"
#include "libs/membership/peer_table.h"
#include "libs/membership/summary_table.h"
#include "libs/membership/target_table.h"

namespace bilberryspool::membership {

// What a message is built from; all of it outlives the call.
struct GossipSources {
  const PeerTable* peers = nullptr;
  const TargetTable* targets = nullptr;
  const SummaryTable* summaries = nullptr;
};

GossipDigest BuildDigest(const GossipSources& sources, bool detail);

// What the sender of `digest` lacks. News of as many origins as fit into
// about `row_limit` rows, each origin whole, so that the receiver's counters
// never step over a row that was left out.
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
