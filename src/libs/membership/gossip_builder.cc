#include "libs/membership/gossip_builder.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace bilberryspool::membership {
namespace {

// Rows of one origin that the receiver does not have.
struct OriginUpdates {
  std::vector<const TargetRecord*> announcements;
  std::vector<const TargetRecord*> heartbeats;

  std::size_t size() const { return announcements.size() + heartbeats.size(); }
};

using KnownStamps = std::map<NodeId, Stamp>;

bool IsUnresponsive(const KnownStamps& known,
                    const PeerTable& peers,
                    const Stamp& stamp) {
  if (stamp.count == 0 || !peers.IsCurrent(stamp)) {
    return false;
  }
  const auto found = known.find(stamp.origin);
  if (found == known.end() || found->second.incarnation < stamp.incarnation) {
    return true;
  }
  return found->second.incarnation == stamp.incarnation &&
         found->second.count < stamp.count;
}

std::map<NodeId, OriginUpdates> Collect(const GossipSources& sources,
                                        const KnownStamps& known) {
  std::map<NodeId, OriginUpdates> updates;
  for (const auto& [target, record] : sources.targets->records()) {
    if (IsUnresponsive(known, *sources.peers, record.announcement_stamp)) {
      updates[record.announcement_stamp.origin].announcements.push_back(
          &record);
    }
    if (IsUnresponsive(known, *sources.peers, record.heartbeat_stamp)) {
      updates[record.heartbeat_stamp.origin].heartbeats.push_back(&record);
    }
  }
  return updates;
}

void AddEntries(const GossipSources& sources,
                const KnownStamps& known,
                GossipDelta* delta) {
  for (const auto& [node, peer] : sources.peers->peers()) {
    const auto found = known.find(node);
    if (found == known.end() ||
        found->second.incarnation < peer.info.incarnation) {
      delta->entries.push_back(peer.info);
    }
  }
}

void AddUpdates(const GossipSources& sources,
                const KnownStamps& known,
                std::size_t row_limit,
                TimePoint now,
                GossipDelta* delta) {
  std::map<NodeId, OriginUpdates> updates = Collect(sources, known);
  std::size_t rows = 0;
  for (const auto& [node, peer] : sources.peers->peers()) {
    const Stamp complete_up_to{node, peer.info.incarnation,
                               peer.complete_up_to};
    if (!IsUnresponsive(known, *sources.peers, complete_up_to)) {
      continue;
    }
    const OriginUpdates& origin = updates[node];
    if (rows > 0 && rows + origin.size() > row_limit) {
      delta->complete = false;
      continue;
    }
    rows += origin.size();
    for (const TargetRecord* record : origin.announcements) {
      delta->announcements.push_back(ToAnnouncementUpdate(*record, now));
    }
    for (const TargetRecord* record : origin.heartbeats) {
      delta->heartbeats.push_back(ToHeartbeatUpdate(*record, now));
    }
    delta->complete_up_to.push_back(complete_up_to);
  }
}

}  // namespace

GossipDigest BuildDigest(const GossipSources& sources, bool detail) {
  GossipDigest digest;
  digest.from = sources.peers->self().info;
  digest.detail = detail;
  digest.summaries = sources.summaries->versions();
  if (!detail) {
    return digest;
  }
  for (const auto& [node, peer] : sources.peers->peers()) {
    digest.stamps.push_back({node, peer.info.incarnation, peer.complete_up_to});
  }
  return digest;
}

GossipDelta BuildDelta(const GossipSources& sources,
                       const GossipDigest& digest,
                       bool detail,
                       std::size_t row_limit,
                       TimePoint now) {
  GossipDelta delta;
  delta.from = sources.peers->self().info;
  delta.detail = detail;
  delta.summaries = sources.summaries->NewerThan(digest.summaries, now);
  if (!detail) {
    return delta;
  }
  KnownStamps known;
  for (const Stamp& stamp : digest.stamps) {
    known[stamp.origin] = stamp;
  }
  AddEntries(sources, known, &delta);
  AddUpdates(sources, known, row_limit, now, &delta);
  return delta;
}

AnnouncementUpdate ToAnnouncementUpdate(const TargetRecord& record,
                                        TimePoint now) {
  return {record.announcement, now - record.last_seen_at,
          record.announcement_stamp};
}

HeartbeatUpdate ToHeartbeatUpdate(const TargetRecord& record, TimePoint now) {
  HeartbeatUpdate update;
  update.target = record.announcement.target;
  update.claim = record.announcement.claim;
  update.sequence = record.announcement.sequence;
  update.heartbeat_number = record.heartbeat_number;
  update.age = now - record.last_seen_at;
  update.load = record.load;
  update.load.age = record.last_seen_at - record.load_at;
  update.suspected = record.suspected;
  update.stamp = record.heartbeat_stamp;
  return update;
}

}  // namespace bilberryspool::membership
