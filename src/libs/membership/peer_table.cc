#include "libs/membership/peer_table.h"

#include <algorithm>

namespace bilberryspool::membership {

PeerTable::PeerTable(const EntryInfo& self) : self_(self.node) {
  peers_[self_] = Peer{self, 0, 0, TimePoint()};
}

void PeerTable::Observe(const EntryInfo& info, TimePoint now) {
  if (info.node == self_) {
    return;
  }
  const auto [position, inserted] =
      peers_.try_emplace(info.node, Peer{info, 0, 0, now});
  Peer& peer = position->second;
  if (inserted || info.incarnation <= peer.info.incarnation) {
    return;
  }
  peer = Peer{info, 0, 0, now};
}

void PeerTable::RecordNewest(const Stamp& stamp, TimePoint now) {
  const auto found = peers_.find(stamp.origin);
  if (found == peers_.end() || stamp.origin == self_ ||
      found->second.info.incarnation != stamp.incarnation) {
    return;
  }
  if (stamp.count > found->second.newest) {
    found->second.newest = stamp.count;
    found->second.last_seen_at = now;
  }
}

void PeerTable::RecordCompleteUpTo(const Stamp& stamp) {
  const auto found = peers_.find(stamp.origin);
  if (found == peers_.end() || stamp.origin == self_ ||
      found->second.info.incarnation != stamp.incarnation) {
    return;
  }
  found->second.complete_up_to =
      std::max(found->second.complete_up_to, stamp.count);
}

Stamp PeerTable::NextStamp(TimePoint now) {
  Peer& self = peers_.at(self_);
  ++self.newest;
  self.complete_up_to = self.newest;
  self.last_seen_at = now;
  return Stamp{self_, self.info.incarnation, self.newest};
}

void PeerTable::RemoveExpired(TimePoint now, Duration max_silence) {
  std::erase_if(peers_, [&](const auto& item) {
    return item.first != self_ && now - item.second.last_seen_at > max_silence;
  });
}

void PeerTable::KeepOnly(const FailureDomain& domain) {
  std::erase_if(peers_, [&](const auto& item) {
    return item.first != self_ && item.second.info.domain != domain;
  });
}

std::vector<EntryInfo> PeerTable::Live(const FailureDomain& domain,
                                       TimePoint now,
                                       Duration window) const {
  std::vector<EntryInfo> live;
  for (const auto& [node, peer] : peers_) {
    if (peer.info.domain != domain) {
      continue;
    }
    if (node == self_ || now - peer.last_seen_at <= window) {
      live.push_back(peer.info);
    }
  }
  return live;
}

TimePoint PeerTable::LastSeen(const FailureDomain& domain) const {
  TimePoint last;
  for (const auto& [node, peer] : peers_) {
    if (peer.info.domain == domain) {
      last = std::max(last, peer.last_seen_at);
    }
  }
  return last;
}

bool PeerTable::IsCurrent(const Stamp& stamp) const {
  const auto found = peers_.find(stamp.origin);
  return found != peers_.end() &&
         found->second.info.incarnation == stamp.incarnation;
}

}  // namespace bilberryspool::membership
