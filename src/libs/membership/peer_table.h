#ifndef LIBS_MEMBERSHIP_PEER_TABLE_H_
#define LIBS_MEMBERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

// One entry as another one sees it.
struct Peer {
  EntryInfo info;
  std::uint64_t complete_up_to = 0;  // all its news up to here have arrived
  std::uint64_t newest = 0;          // the highest counter heard of
  TimePoint last_seen_at;            // when `newest` last rose
};

// The entries that this one knows, itself included. Its counters are the
// version vector of the exchanges; a counter that rises is the sign of life.
class PeerTable {
 public:
  explicit PeerTable(const EntryInfo& self);

  // Learns of an entry or of its restart; older incarnations are ignored.
  void Observe(const EntryInfo& info, TimePoint now);
  // Notes that an entry had reached `stamp`; ignored for unknown entries.
  void RecordNewest(const Stamp& stamp, TimePoint now);
  // Notes that all news up to `stamp` have been taken in.
  void RecordCompleteUpTo(const Stamp& stamp);
  // The next number for news that this entry is the first to hear.
  Stamp NextStamp(TimePoint now);
  // Drops entries that were silent for longer than `after`.
  void RemoveExpired(TimePoint now, Duration max_silence);
  void KeepOnly(const FailureDomain& domain);

  const Peer& self() const { return peers_.at(self_); }
  const std::map<NodeId, Peer>& peers() const { return peers_; }
  // Those heard within `window`; sorted by id, this entry included.
  std::vector<EntryInfo> Live(const FailureDomain& domain,
                              TimePoint now,
                              Duration window) const;
  // When any entry of `domain` was last heard.
  TimePoint LastSeen(const FailureDomain& domain) const;
  bool IsCurrent(const Stamp& stamp) const;

 private:
  NodeId self_;
  std::map<NodeId, Peer> peers_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_PEER_TABLE_H_
