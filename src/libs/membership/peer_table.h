#ifndef LIBS_MEMBERSHIP_PEER_TABLE_H_
#define LIBS_MEMBERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

// State of one entry as known to this entry.
struct Peer {
  EntryInfo info;
  std::uint64_t complete_up_to = 0;  // all updates up to here were received
  std::uint64_t newest = 0;          // highest counter known
  TimePoint last_seen_at;            // when `newest` last increased
};

// Entries known to this entry, including itself. The counters form the version
// vector of the gossip exchanges; an increasing counter shows that an entry is
// live.
class PeerTable {
 public:
  explicit PeerTable(const EntryInfo& self);

  // Adds an entry, or resets it if it was restarted. Older incarnations are
  // ignored.
  void Observe(const EntryInfo& info, TimePoint now);
  // Records that the counter of an entry has reached `stamp`. Ignored for
  // unknown entries.
  void RecordNewest(const Stamp& stamp, TimePoint now);
  // Records that all updates up to `stamp` were received.
  void RecordCompleteUpTo(const Stamp& stamp);
  // Returns the stamp for the next update of which this entry is the origin.
  Stamp NextStamp(TimePoint now);
  // Removes entries that were silent for longer than `max_silence`.
  void RemoveExpired(TimePoint now, Duration max_silence);
  // Removes the entries of all other domains.
  void KeepOnly(const FailureDomain& domain);

  const Peer& self() const { return peers_.at(self_); }
  const std::map<NodeId, Peer>& peers() const { return peers_; }
  // Entries of `domain` seen within `window`, sorted by id, including this one.
  std::vector<EntryInfo> Live(const FailureDomain& domain,
                              TimePoint now,
                              Duration window) const;
  // Time at which any entry of `domain` was last seen.
  TimePoint LastSeen(const FailureDomain& domain) const;
  // Whether `stamp` belongs to the known incarnation of its origin.
  bool IsCurrent(const Stamp& stamp) const;

 private:
  NodeId self_;
  std::map<NodeId, Peer> peers_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_PEER_TABLE_H_
