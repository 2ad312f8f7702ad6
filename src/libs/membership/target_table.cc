#include "libs/membership/target_table.h"

#include <algorithm>

#include "libs/base/check.h"

namespace bilberryspool::membership {
namespace {

bool IsSameProcess(const Announcement& one, const Announcement& other) {
  return one.node == other.node && one.address == other.address;
}

}  // namespace

MergeResult TargetTable::MergeAnnouncement(const Announcement& announcement,
                                           const Stamp& stamp,
                                           Duration age,
                                           TimePoint now) {
  const auto [position, inserted] = records_.try_emplace(announcement.target);
  TargetRecord& record = position->second;
  if (inserted) {
    record.announcement = announcement;
    record.announcement_stamp = stamp;
    record.last_seen_at = now - age;
    record.load_at = record.last_seen_at;
    return {MergeOutcome::kNew, std::nullopt};
  }
  const Announcement& known = record.announcement;
  const bool other_process =
      announcement.claim != known.claim && !IsSameProcess(announcement, known);
  MergeResult result;
  const bool reopens_after_leaving =
      known.claim == announcement.claim &&
      known.state == TargetState::kLeaving &&
      announcement.state != TargetState::kLeaving;
  if (announcement.order() <= known.order() || reopens_after_leaving) {
    result.outcome = announcement.order() == known.order()
                         ? MergeOutcome::kSame
                         : MergeOutcome::kOlder;
#if !defined(BILBERRYSPOOL_MUTATION_OLDER_ANNOUNCEMENT_WINS)
    if (other_process) {
      result.conflict = announcement;
    }
    return result;
#endif
  }
  if (other_process && now - record.last_seen_at <= options_.suspect_after &&
      known.state != TargetState::kLeaving) {
    result.conflict = known;
  }
  BILBERRYSPOOL_INVARIANT(announcement.order() >= known.order(),
                          "a target's description never goes back");
  result.outcome = MergeOutcome::kNewer;
  if (announcement.claim != known.claim) {
    record.damper.AddReturn(options_.flaps, now);
    record.heartbeat_number = 0;
    record.last_seen_at = now - age;
    record.suspected = false;
  }
  record.announcement = announcement;
  record.announcement_stamp = stamp;
  return result;
}

MergeOutcome TargetTable::MergeHeartbeat(const Heartbeat& heartbeat,
                                         const std::optional<Stamp>& new_stamp,
                                         TimePoint now) {
  TargetRecord* record = Find(heartbeat.target);
  if (record == nullptr) {
    return MergeOutcome::kNewer;
  }
  const Announcement& known = record->announcement;
  if (heartbeat.claim < known.claim) {
    return MergeOutcome::kOlder;
  }
  if (heartbeat.claim > known.claim || heartbeat.sequence > known.sequence) {
    return MergeOutcome::kNewer;
  }
  if (heartbeat.heartbeat_number <= record->heartbeat_number) {
    return MergeOutcome::kSame;
  }
  record->heartbeat_number = heartbeat.heartbeat_number;
  record->load = heartbeat.load;
  record->load_at = now - heartbeat.load.age;
  record->last_seen_at = now;
  record->direct = true;
  record->suspected = false;
  if (new_stamp) {
    record->heartbeat_stamp = *new_stamp;
    record->heartbeat_stamped_at = now;
  }
  return MergeOutcome::kSame;
}

MergeOutcome TargetTable::MergeHeartbeatUpdate(const HeartbeatUpdate& update,
                                               TimePoint now) {
  TargetRecord* record = Find(update.target);
  if (record == nullptr) {
    // A target that was silent for this long is not worth a request.
    return update.age < options_.gone_after ? MergeOutcome::kNewer
                                            : MergeOutcome::kOlder;
  }
  const Announcement& known = record->announcement;
  if (update.claim < known.claim) {
    return MergeOutcome::kOlder;
  }
  if (update.claim > known.claim || update.sequence > known.sequence) {
    return MergeOutcome::kNewer;
  }
  if (update.heartbeat_number == record->heartbeat_number) {
    record->suspected =
        record->suspected || (update.suspected && !record->direct);
    return MergeOutcome::kSame;
  }
  if (update.heartbeat_number < record->heartbeat_number) {
    return MergeOutcome::kOlder;
  }
  record->heartbeat_number = update.heartbeat_number;
  record->load = update.load;
  record->load_at = now - update.age - update.load.age;
  record->last_seen_at = std::max(record->last_seen_at, now - update.age);
  record->heartbeat_stamp = update.stamp;
  record->heartbeat_stamped_at = now;
  record->direct = false;
  record->suspected = update.suspected;
  return MergeOutcome::kSame;
}

Liveness TargetTable::Classify(const TargetRecord& record,
                               const DomainState& domain,
                               const RefreshTiming& timing,
                               TimePoint now) const {
  const TimePoint base = std::max(record.last_seen_at, domain.returned_at);
  const Duration silence = now - base;
  const Duration allowance = timing.Allowance(record.direct);
#if !defined(BILBERRYSPOOL_MUTATION_CUT_DOMAIN_IS_EVICTED)
  if (!domain.reachable) {
    return silence > options_.suspect_after ? Liveness::kStale
                                            : Liveness::kAlive;
  }
#endif
  if (silence > options_.gone_after + allowance ||
      (record.suspected &&
       silence > options_.gone_after + timing.heartbeat_slack)) {
    return Liveness::kGone;
  }
  if (record.suspected || silence > options_.suspect_after + allowance) {
    return Liveness::kSuspect;
  }
  return Liveness::kAlive;
}

bool TargetTable::UpdateLiveness(TargetRecord* record,
                                 const DomainState& domain,
                                 const RefreshTiming& timing,
                                 TimePoint now) const {
  const Liveness before = record->liveness;
  record->liveness = Classify(*record, domain, timing, now);
  if (before == Liveness::kGone && record->liveness == Liveness::kAlive) {
    record->damper.AddReturn(options_.flaps, now);
  }
  record->damper.Update(options_.flaps, now);
  return before != record->liveness;
}

void TargetTable::RemoveExpired(TimePoint now) {
  std::erase_if(records_, [&](const auto& item) {
    const TargetRecord& record = item.second;
    const bool is_finished = record.liveness == Liveness::kGone ||
                             record.announcement.state == TargetState::kLeaving;
    return is_finished && now - record.last_seen_at > options_.target_retention;
  });
}

void TargetTable::KeepOnly(const FailureDomain& domain) {
  std::erase_if(records_, [&](const auto& item) {
    return item.second.announcement.domain != domain;
  });
}

TargetRecord* TargetTable::Find(const TargetId& target) {
  const auto found = records_.find(target);
  return found == records_.end() ? nullptr : &found->second;
}

}  // namespace bilberryspool::membership
