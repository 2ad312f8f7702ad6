#include "libs/traffic/target_registry.h"

#include <algorithm>

namespace bilberryspool::traffic {

namespace {

// Compares what gateways depend on; the sequence alone is no change.
bool IsSameForGateways(const TargetAnnouncement& left,
                       const TargetAnnouncement& right) {
  TargetAnnouncement aligned = right;
  aligned.sequence = left.sequence;
  return left == aligned;
}

}  // namespace

bool TargetRegistry::Announce(const TargetAnnouncement& announcement,
                              TimePoint now) {
  const auto [found, is_new] = records_.try_emplace(announcement.target);
  TargetRecord& record = found->second;
  if (is_new) {
    record = {announcement, false, ++revision_, now};
    return true;
  }
  const TargetAnnouncement& known = record.announcement;
  if (announcement.incarnation != known.incarnation) {
    if (!IsRestart(record, announcement, now)) {
      return false;
    }
    record = {announcement, false, ++revision_, now};
    restart_candidates_.erase(announcement.target);
    return true;
  }
  if (known.standing == Standing::kGone ||
      announcement.sequence <= known.sequence) {
    return false;
  }
  record.heard_at = now;
  TargetAnnouncement next = announcement;
  // Leaving is final: an announcement that says otherwise was sent earlier.
  next.standing = std::max(known.standing, announcement.standing);
  const bool is_change = record.is_silent || !IsSameForGateways(known, next);
  record.announcement = std::move(next);
  record.is_silent = false;
  if (is_change) {
    record.revision = ++revision_;
  }
  return is_change;
}

bool TargetRegistry::IsRestart(const TargetRecord& known,
                               const TargetAnnouncement& announcement,
                               TimePoint now) {
  if (announcement.incarnation > known.announcement.incarnation) {
    return true;
  }
  RestartCandidate& candidate = restart_candidates_[announcement.target];
  const bool is_other = candidate.incarnation != announcement.incarnation;
  if (is_other || known.heard_at >= candidate.first_received_at) {
    candidate = {announcement.incarnation, announcement.sequence, now};
    return false;
  }
  const bool has_progressed = announcement.sequence > candidate.sequence;
  candidate.sequence = std::max(candidate.sequence, announcement.sequence);
  return has_progressed &&
         now - candidate.first_received_at >= options_.restart_confirmation;
}

bool TargetRegistry::Withdraw(const TargetId& target,
                              Incarnation incarnation,
                              TimePoint now) {
  TargetRecord& record = records_[target];
  const bool has_incarnation = incarnation != Incarnation();
  const Incarnation known = record.announcement.incarnation;
  // A withdrawal of an earlier start that arrived after the next start.
  if (has_incarnation && incarnation < known) {
    return false;
  }
  const bool is_same = !has_incarnation || incarnation == known;
  if (is_same && record.announcement.standing == Standing::kGone) {
    return false;
  }
  record.announcement.target = target;
  record.announcement.incarnation = std::max(known, incarnation);
  record.announcement.standing = Standing::kGone;
  record.heard_at = now;
  record.revision = ++revision_;
  return true;
}

bool TargetRegistry::OnLeaving(const TargetRun& run, TimePoint now) {
  const auto [found, is_new] = records_.try_emplace(run.target);
  TargetRecord& record = found->second;
  TargetAnnouncement& known = record.announcement;
  if (!is_new && run.incarnation < known.incarnation) {
    return false;
  }
  if (is_new || run.incarnation > known.incarnation) {
    // The other details follow with the next announcement of the run, if any.
    record = TargetRecord();
    known.target = run.target;
    known.incarnation = run.incarnation;
    record.heard_at = now;
  } else if (known.standing != Standing::kReady) {
    return false;
  }
  known.standing = Standing::kLeaving;
  record.revision = ++revision_;
  return true;
}

bool TargetRegistry::Tick(TimePoint now) {
  bool is_change = false;
  for (auto& [target, record] : records_) {
    if (record.is_silent || record.announcement.standing == Standing::kGone ||
        now - record.heard_at < options_.silence_timeout) {
      continue;
    }
    record.is_silent = true;
    record.revision = ++revision_;
    is_change = true;
  }
  RemoveExpired(now);
  return is_change;
}

void TargetRegistry::RemoveExpired(TimePoint now) {
  std::erase_if(records_, [&](const auto& item) {
    return now - item.second.heard_at > options_.retention;
  });
  std::erase_if(restart_candidates_, [&](const auto& item) {
    return now - item.second.first_received_at > options_.retention;
  });
  while (records_.size() > options_.max_records) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.heard_at < b.second.heard_at;
        }));
  }
}

std::vector<TargetRecord> TargetRegistry::ChangedSince(
    std::uint64_t revision) const {
  std::vector<TargetRecord> changed;
  for (const auto& [target, record] : records_) {
    if (record.revision > revision) {
      changed.push_back(record);
    }
  }
  return changed;
}

}  // namespace bilberryspool::traffic
