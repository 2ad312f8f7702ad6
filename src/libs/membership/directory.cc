#include "libs/membership/directory.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libs/membership/rendezvous.h"

namespace bilberryspool::membership {
namespace {

constexpr Duration::rep kMissedHeartbeats = 3;

}  // namespace

Directory::Directory(DirectoryOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      peers_(options_.self),
      table_(options_.targets),
      watch_(options_.domains),
      timing_{options_.min_refresh_interval, Duration(0)},
      round_interval_(options_.gossip_interval),
      heartbeat_interval_(options_.heartbeat_interval) {}

std::vector<DirectoryAction> Directory::Handle(const DirectoryEvent& event,
                                               TimePoint now) {
  if (!started_) {
    started_ = true;
    started_at_ = now;
  }
  Actions actions;
  std::visit([&](const auto& known) { Apply(known, now, &actions); }, event);
  return actions;
}

void Directory::Apply(const DirectoryTick& /*event*/,
                      TimePoint now,
                      Actions* actions) {
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + random_.Between(round_interval_ * 9 / 10,
                                     round_interval_ * 11 / 10);
  peers_.NextStamp(now);  // proves to the peers that this entry is live
  UpdateScaling(now);
  UpdateDomains(now, actions);
  for (auto& [target, record] : table_.records()) {
    UpdateAndReportLiveness(&record, now, actions);
  }
  table_.RemoveExpired(now);
  peers_.RemoveExpired(now, options_.entry_retention);
  PublishSummary(now);
  Gossip(now, actions);
}

void Directory::Apply(const AnnouncementReceived& event,
                      TimePoint now,
                      Actions* actions) {
  const Announcement& arrived = event.announcement;
  const MergeResult result = table_.MergeAnnouncement(
      arrived, peers_.NextStamp(now), Duration(0), now);
  ReportConflictOnce(result, arrived, actions);
  if (result.outcome == MergeOutcome::kNew ||
      result.outcome == MergeOutcome::kNewer) {
    TargetRecord* record = table_.Find(arrived.target);
    UpdateAndReportLiveness(record, now, actions);
    actions->push_back(
        TargetChanged{arrived.target, arrived.state, record->liveness});
    PushUpdate(*record, true, now, actions);
  }
  actions->push_back(ReplyToAgent{
      arrived.target, MakeReply(arrived.target, arrived.claim, now)});
}

void Directory::Apply(const HeartbeatReceived& event,
                      TimePoint now,
                      Actions* actions) {
  const Heartbeat& heartbeat = event.heartbeat;
  TargetRecord* record = table_.Find(heartbeat.target);
  std::optional<Stamp> new_stamp;
  if (record != nullptr &&
      (record->suspected || record->heartbeat_number == 0 ||
       now - record->heartbeat_stamped_at >= timing_.refresh_interval)) {
    new_stamp = peers_.NextStamp(now);
  }
  const MergeOutcome outcome = table_.MergeHeartbeat(heartbeat, new_stamp, now);
  AnnounceReply reply = MakeReply(heartbeat.target, heartbeat.claim, now);
  reply.wants_announcement = outcome == MergeOutcome::kNewer;
  if (DigestOfNames(reply.entries) == heartbeat.entries_digest) {
    reply.entries.clear();
  }
  if (record != nullptr) {
    UpdateAndReportLiveness(record, now, actions);
  }
  actions->push_back(ReplyToAgent{heartbeat.target, std::move(reply)});
}

void Directory::Apply(const PeerMessageReceived& event,
                      TimePoint now,
                      Actions* actions) {
  std::visit(
      [&](const auto& message) {
        if (message.from.domain == options_.self.domain || detail_everywhere_) {
          peers_.Observe(message.from, now);
        }
        HandleMessage(message, now, actions);
      },
      event.message);
}

void Directory::HandleMessage(const GossipDigest& digest,
                              TimePoint now,
                              Actions* actions) {
  for (const Stamp& stamp : digest.stamps) {
    peers_.RecordNewest(stamp, now);
  }
  const bool detail = digest.from.domain == options_.self.domain ||
                      (digest.detail && detail_everywhere_);
  GossipDelta delta =
      BuildDelta(sources(), digest, detail, options_.row_limit, now);
  delta.answer.push_back(BuildDigest(sources(), detail));
  actions->push_back(SendToPeer{digest.from.peer_address, std::move(delta)});
}

void Directory::HandleMessage(const GossipDelta& delta,
                              TimePoint now,
                              Actions* actions) {
  for (const DomainSummary& summary : delta.summaries) {
    summaries_.Merge(summary, now);
    AddContacts(summary, now);
  }
  if (HasDetailFor(delta.from.domain)) {
    MergeDetail(delta, now, actions);
  }
  for (const GossipDigest& digest : delta.answer) {
    const bool detail = delta.detail && HasDetailFor(delta.from.domain);
    GossipDelta response =
        BuildDelta(sources(), digest, detail, options_.row_limit, now);
    if (!response.complete_up_to.empty() || !response.summaries.empty()) {
      actions->push_back(
          SendToPeer{delta.from.peer_address, std::move(response)});
    }
  }
}

// An entry that has just started may learn of its own domain from another
// domain first. Without this, parts of a domain might never learn of each
// other.
void Directory::AddContacts(const DomainSummary& summary, TimePoint now) {
  if (summary.domain != options_.self.domain) {
    return;
  }
  for (const EntryInfo& contact : summary.contacts) {
    peers_.Observe(contact, now);
  }
}

void Directory::MergeDetail(const GossipDelta& delta,
                            TimePoint now,
                            Actions* actions) {
  for (const EntryInfo& entry : delta.entries) {
    if (HasDetailFor(entry.domain)) {
      peers_.Observe(entry, now);
    }
  }
  for (const AnnouncementUpdate& update : delta.announcements) {
    // Entries that have just left the detailed mode may still send each other
    // targets of other domains. Without this check they would do so forever.
    if (!HasDetailFor(update.announcement.domain)) {
      continue;
    }
    const MergeResult result = table_.MergeAnnouncement(
        update.announcement, update.stamp, update.age, now);
    ReportConflictOnce(result, update.announcement, actions);
    if (result.outcome == MergeOutcome::kNew ||
        result.outcome == MergeOutcome::kNewer) {
      TargetRecord* record = table_.Find(update.announcement.target);
      UpdateAndReportLiveness(record, now, actions);
      actions->push_back(TargetChanged{update.announcement.target,
                                       update.announcement.state,
                                       record->liveness});
    }
  }
  AnnouncementRequest request{options_.self, {}};
  for (const HeartbeatUpdate& update : delta.heartbeats) {
    if (table_.MergeHeartbeatUpdate(update, now) == MergeOutcome::kNewer) {
      request.targets.push_back(update.target);
    }
    if (TargetRecord* record = table_.Find(update.target)) {
      UpdateAndReportLiveness(record, now, actions);
    }
  }
  for (const Stamp& stamp : delta.complete_up_to) {
    peers_.RecordNewest(stamp, now);
    peers_.RecordCompleteUpTo(stamp);
  }
  if (!request.targets.empty()) {
    actions->push_back(SendToPeer{delta.from.peer_address, std::move(request)});
  }
}

void Directory::HandleMessage(const AnnouncementRequest& request,
                              TimePoint now,
                              Actions* actions) {
  GossipDelta delta;
  delta.from = options_.self;
  for (const TargetId& target : request.targets) {
    if (const TargetRecord* record = table_.Find(target)) {
      delta.announcements.push_back(ToAnnouncementUpdate(*record, now));
      delta.heartbeats.push_back(ToHeartbeatUpdate(*record, now));
    }
  }
  if (!delta.announcements.empty()) {
    actions->push_back(SendToPeer{request.from.peer_address, std::move(delta)});
  }
}

AnnounceReply Directory::MakeReply(const TargetId& target,
                                   const Claim& claim,
                                   TimePoint now) const {
  AnnounceReply reply;
  reply.interval = heartbeat_interval_;
  const auto found = table_.records().find(target);
  if (found != table_.records().end()) {
    const Announcement& known = found->second.announcement;
    reply.known = known.claim;
    reply.superseded = known.claim > claim;
    reply.sequence = known.claim == claim ? known.sequence : 0;
  }
  for (const EntryInfo& entry : live_entries(now)) {
    reply.entries.push_back(entry.peer_address);
  }
  return reply;
}

void Directory::ReportConflictOnce(const MergeResult& result,
                                   const Announcement& arrived,
                                   Actions* actions) {
  if (!result.conflict) {
    return;
  }
  const TargetRecord* record = table_.Find(arrived.target);
  const Announcement& winner = record->announcement;
  if (reported_conflicts_.emplace(winner.claim, result.conflict->claim)
          .second) {
    actions->push_back(ReportConflict{winner, *result.conflict});
  }
}

void Directory::UpdateAndReportLiveness(TargetRecord* record,
                                        TimePoint now,
                                        Actions* actions) {
  const Announcement& announcement = record->announcement;
  const DomainState domain = watch_.State(announcement.domain);
  if (!table_.UpdateLiveness(record, domain, timing_, now)) {
    return;
  }
  actions->push_back(
      TargetChanged{announcement.target, announcement.state, record->liveness});
  // The entry that receives an agent's heartbeats is the first to detect
  // missing ones. The others would wait for several more refresh intervals.
  if (record->direct && !record->suspected &&
      record->liveness == Liveness::kSuspect) {
    record->suspected = true;
    record->heartbeat_stamp = peers_.NextStamp(now);
    PushUpdate(*record, false, now, actions);
  }
}

void Directory::PushUpdate(const TargetRecord& record,
                           bool announcement,
                           TimePoint now,
                           Actions* actions) const {
  GossipDelta delta;
  delta.from = options_.self;
  if (announcement) {
    delta.announcements.push_back(ToAnnouncementUpdate(record, now));
  }
  if (record.suspected) {
    delta.heartbeats.push_back(ToHeartbeatUpdate(record, now));
  }
  for (const auto& [node, peer] : peers_.peers()) {
    const bool live = now - peer.last_seen_at <= entry_window();
    if (node != options_.self.node && live && HasDetailFor(peer.info.domain)) {
      actions->push_back(SendToPeer{peer.info.peer_address, delta});
    }
  }
}

bool Directory::HasDetailFor(const FailureDomain& domain) const {
  return detail_everywhere_ || domain == options_.self.domain;
}

// Adapts the intervals and the level of detail to the size of the deployment.
// The threshold for leaving the detailed mode is a quarter higher than the one
// for entering it, so that a deployment near the limit does not switch back and
// forth.
void Directory::UpdateScaling(TimePoint now) {
  std::map<FailureDomain, std::size_t> known;
  std::size_t own = 0;
  for (const auto& [target, record] : table_.records()) {
    ++known[record.announcement.domain];
  }
  own = known[options_.self.domain];
  for (const auto& [domain, row] : summaries_.rows()) {
    std::size_t& count = known[domain];
    count = std::max<std::size_t>(count, row.summary.targets);
  }
  std::size_t total = 0;
  for (const auto& [domain, count] : known) {
    total += count;
  }
  const std::size_t bound = detail_everywhere_
                                ? options_.detail_threshold * 5 / 4
                                : options_.detail_threshold;
  detail_everywhere_ = total <= bound;
  if (!detail_everywhere_) {
    // Targets of other domains get no more individual updates; their remaining
    // records would look like silent domains.
    table_.KeepOnly(options_.self.domain);
    peers_.KeepOnly(options_.self.domain);
  }
  const double rows =
      static_cast<double>(detail_everywhere_ ? table_.records().size() : own);
  const Duration stretched = Duration(
      static_cast<Duration::rep>(1e6 * rows / options_.rows_per_second));
  timing_.refresh_interval = std::max(options_.min_refresh_interval, stretched);
  const auto entries = static_cast<Duration::rep>(live_entries(now).size());
  const auto agents = static_cast<Duration::rep>(own);
  round_interval_ =
      std::max(options_.gossip_interval, options_.gossip_per_entry * entries);
  heartbeat_interval_ =
      std::max(options_.heartbeat_interval,
               options_.heartbeat_per_agent * agents / entries);
  timing_.heartbeat_slack =
      (heartbeat_interval_ - options_.heartbeat_interval) * kMissedHeartbeats;
}

}  // namespace bilberryspool::membership
