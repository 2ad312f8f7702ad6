#include "libs/traffic/target_pool.h"

#include <algorithm>

namespace bilberryspool::traffic {

bool TargetPool::Target::is_silent() const {
  return !reported_by.empty() &&
         std::all_of(
             reported_by.begin(), reported_by.end(), [&](const auto& item) {
               return item.second.is_silent ||
                      item.second.incarnation != announcement.incarnation;
             });
}

void TargetPool::Target::ResetForRestart(const TargetAnnouncement& reported) {
  announcement = reported;
  others_reported_at = TimePoint{};
  failures_in_row = 0;
  cooldown_until = TimePoint{};
  full_until = TimePoint{};
}

TargetPool::TargetPool(TargetPoolOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      cold_starts_(options_.cold_starts, options_.started_at) {}

void TargetPool::Update(const std::string& source,
                        bool is_whole,
                        const std::vector<TargetRecord>& records,
                        TimePoint now) {
  updated_at_ = now;
  if (is_whole) {
    for (auto& [id, target] : targets_) {
      target.reported_by.erase(source);
    }
  }
  for (const TargetRecord& record : records) {
    Merge(source, record, now);
  }
  RemoveExpired(now);
  UpdateUsableShares();
}

bool TargetPool::SetEvacuated(const evacuation::EvacuationState& reported) {
  const bool is_changed = evacuations_.OnReported(reported);
  if (is_changed) {
    UpdateUsableShares();
  }
  return is_changed;
}

void TargetPool::UpdateUsableShares() {
  std::map<GroupId, double> shares;
  for (const auto& [id, target] : targets_) {
    const auto& place = target.announcement.group;
    if (place.has_value() && place->size > 0 && IsReady(target) &&
        !target.is_silent()) {
      double& share = shares[place->group];
      share = std::min(1.0, share + 1.0 / place->size);
    }
  }
  group_loads_.SetUsableShares(std::move(shares));
}

void TargetPool::Merge(const std::string& source,
                       const TargetRecord& record,
                       TimePoint now) {
  const TargetAnnouncement& reported = record.announcement;
  Target& target = targets_[reported.target];
  TargetAnnouncement& known = target.announcement;
  const bool is_new = known.target != reported.target;
  const bool was_silent = !is_new && target.is_silent();
  target.reported_by[source] = {reported.incarnation, record.is_silent};
  target.changed_at = now;
  if (!is_new && reported.incarnation != known.incarnation) {
    // A lower incarnation is an outdated report, unless the clock of the
    // target's VM has stepped back. In that case nobody receives announcements
    // of the higher one any more.
    const bool is_restart = reported.incarnation > known.incarnation ||
                            (target.is_silent() && !record.is_silent &&
                             known.standing != Standing::kGone);
    if (is_restart) {
      target.ResetForRestart(reported);
      availability_.OnAnnouncement(known, /*has_returned=*/true, now);
    }
    return;
  }
  const Standing standing = std::max(known.standing, reported.standing);
  // A withdrawal holds only the name.
  const bool has_details = !reported.address.empty();
  if (has_details && (is_new || reported.sequence >= known.sequence)) {
    known = reported;
  }
  known.target = reported.target;
  known.standing = standing;
  if (is_new) {
    known.incarnation = reported.incarnation;
  }
  const bool has_returned = is_new || (was_silent && !target.is_silent());
  availability_.OnAnnouncement(known, has_returned, now);
}

void TargetPool::RemoveExpired(TimePoint now) {
  std::erase_if(targets_, [&](const auto& item) {
    const Target& target = item.second;
    const bool is_over = target.announcement.standing == Standing::kGone ||
                         target.is_silent() || target.reported_by.empty();
    return is_over && target.in_flight == 0 &&
           now - target.changed_at > options_.retention;
  });
}

void TargetPool::SetSlow(const std::string& source,
                         std::map<std::string, double> by_address) {
  slow_[source] = std::move(by_address);
}

bool TargetPool::IsReady(const Target& target) const {
  return target.announcement.standing == Standing::kReady &&
         !evacuations_.IsEvacuated(target.announcement.domain);
}

bool TargetPool::MayBeCold(const Target& target, TimePoint now) const {
  return target.announcement.is_cold || target.is_silent() ||
         now - updated_at_ > options_.warmth_freshness;
}

std::optional<Duration> TargetPool::TimeUntilColdStart(const ServiceId& service,
                                                       TimePoint now) const {
  std::optional<Duration> soonest;
  for (const auto& [id, target] : targets_) {
    if (target.announcement.service != service || !IsReady(target)) {
      continue;
    }
    const auto wait = cold_starts_.WaitFor(service, id, now);
    if (wait.has_value()) {
      soonest = std::min(soonest.value_or(*wait), *wait);
    }
  }
  return soonest;
}

std::size_t TargetPool::CountCold() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& item) {
        return item.second.announcement.is_cold && IsReady(item.second);
      }));
}

bool TargetPool::IsWithinLimit(const Target& target, TimePoint now) const {
  return limits_.size() == 0 || limits_.MayTake(target.announcement.run(), now);
}

TargetPool::LimitedTargets TargetPool::LimitedTargetsOf(
    const ServiceId& service,
    const std::set<TargetId>& tried,
    TimePoint now) const {
  LimitedTargets limited;
  if (limits_.size() == 0) {
    return limited;
  }
  for (const auto& [id, target] : targets_) {
    const TargetAnnouncement& reported = target.announcement;
    if (reported.service != service || !IsReady(target) || target.is_silent() ||
        IsPaused(target, now) || tried.contains(id)) {
      continue;
    }
    const TargetRun run = reported.run();
    const auto limit = limits_.LimitOf(run);
    if (limit.has_value()) {
      limited.targets.push_back({run, *limit});
    } else {
      limited.are_all = false;
    }
  }
  return limited;
}

std::optional<Duration> TargetPool::TimeUntilWithinLimit(
    const ServiceId& service,
    TimePoint now) const {
  std::optional<Duration> soonest;
  for (const auto& [id, target] : targets_) {
    const TargetAnnouncement& reported = target.announcement;
    if (reported.service != service || !IsReady(target) || target.is_silent()) {
      continue;
    }
    const TargetRun run = reported.run();
    const Duration pause = pauses_.TimeLeft(id, reported.incarnation, now);
    if (pause == Duration::zero() && !limits_.IsLimited(run)) {
      return std::nullopt;
    }
    const Duration wait = std::max(pause, limits_.WaitFor(run, now));
    soonest = std::min(soonest.value_or(wait), wait);
  }
  return soonest;
}

TargetPool::PausedTargets TargetPool::PausedTargetsOf(const ServiceId& service,
                                                      TimePoint now) const {
  PausedTargets paused;
  for (const auto& [id, target] : targets_) {
    const TargetAnnouncement& reported = target.announcement;
    if (reported.service != service || !IsReady(target)) {
      continue;
    }
    const Duration left = pauses_.TimeLeft(id, reported.incarnation, now);
    if (left == Duration::zero()) {
      paused.are_all = false;
      continue;
    }
    paused.first_end_after =
        paused.count == 0 ? left : std::min(paused.first_end_after, left);
    ++paused.count;
  }
  return paused;
}

void TargetPool::OnEnded(const TargetId& id,
                         TargetOutcome outcome,
                         TimePoint now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  OnNotSent(id);
  Target& target = found->second;
  switch (outcome) {
    case TargetOutcome::kGood:
      target.failures_in_row = 0;
      target.cooldown_until = TimePoint{};
      return;
    case TargetOutcome::kFull:
      target.full_until = now + options_.full_cooldown;
      return;
    case TargetOutcome::kReplaced:
      target.announcement.standing = Standing::kGone;
      target.changed_at = now;
      return;
    case TargetOutcome::kFailed:
      break;
  }
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings =
      std::min(target.failures_in_row, kMaxDoublings);
  ++target.failures_in_row;
  target.cooldown_until =
      now + std::min(options_.initial_cooldown * (1U << doublings),
                     options_.max_cooldown);
}

void TargetPool::OnNotSent(const TargetId& id) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  liveness_.OnEnded(id);
  Target& target = found->second;
  target.in_flight -= std::min<std::uint32_t>(target.in_flight, 1);
}

void TargetPool::OnFirstByte(const TargetId& id,
                             Duration waited,
                             TimePoint now) {
  liveness_.OnFirstByte(id, waited, now);
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    availability_.OnServed(found->second.announcement.service);
  }
}

bool TargetPool::IsUnresponsive(const TargetId& id) const {
  const auto found = targets_.find(id);
  return found != targets_.end() && PaceOf(found->second) >= kUnresponsivePace;
}

bool TargetPool::OnLeaving(const TargetRun& run) {
  const auto found = targets_.find(run.target);
  if (found == targets_.end()) {
    return false;
  }
  TargetAnnouncement& known = found->second.announcement;
  if (known.incarnation != run.incarnation ||
      known.standing != Standing::kReady) {
    return false;
  }
  known.standing = Standing::kLeaving;
  return true;
}

bool TargetPool::OnPauseRequested(const TargetRun& run,
                                  Duration length,
                                  TimePoint now) {
  const auto found = targets_.find(run.target);
  // A later run of the target has not asked for anything.
  if (found == targets_.end() ||
      found->second.announcement.incarnation != run.incarnation) {
    return false;
  }
  return pauses_.OnRequested(run, length, now);
}

void TargetPool::OnLoad(const TargetId& id,
                        std::uint32_t running,
                        std::uint32_t waiting,
                        TimePoint now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  Target& target = found->second;
  const double all = static_cast<double>(running) + waiting;
  target.others_load = std::max(0.0, all - target.in_flight);
  target.others_reported_at = now;
}

TargetPool::Counts TargetPool::CountsOf(const ServiceId& service) const {
  Counts counts;
  for (const auto& [id, target] : targets_) {
    if (target.announcement.service != service) {
      continue;
    }
    counts.in_flight += target.in_flight;
    counts.ready += target.announcement.standing == Standing::kReady ? 1 : 0;
    counts.leaving +=
        target.announcement.standing == Standing::kLeaving ? 1 : 0;
    counts.silent += target.is_silent() ? 1 : 0;
  }
  return counts;
}

bool TargetPool::IsUsable(const TargetId& id) const {
  const auto found = targets_.find(id);
  return found != targets_.end() && IsReady(found->second);
}

}  // namespace bilberryspool::traffic
