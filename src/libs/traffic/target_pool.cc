#include "libs/traffic/target_pool.h"

#include <algorithm>

namespace bilberryspool::traffic {

namespace {

// Costs in addition to the share of slots in use. Silent targets come after all
// others, and targets in cooldown after all that are not.
constexpr double kSilentCost = 100.0;
constexpr double kCooldownCost = 10.0;
// A suspect target comes after those that respond, but is no reason to refuse a
// request.
constexpr double kSuspectCost = 5.0;
// A target in another failure domain costs slightly more: one more hop, and
// traffic between domains.
constexpr double kOtherDomainCost = 0.02;
// Breaks ties differently on each gateway, so that they don't all choose the
// same target.
constexpr double kJitter = 0.03;

TargetRun RunOf(const TargetAnnouncement& announcement) {
  return {announcement.target, announcement.incarnation};
}

}  // namespace

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
    : options_(std::move(options)), random_(seed) {}

void TargetPool::Update(const std::string& source,
                        bool is_whole,
                        const std::vector<TargetRecord>& records,
                        TimePoint now) {
  if (is_whole) {
    for (auto& [id, target] : targets_) {
      target.reported_by.erase(source);
    }
  }
  for (const TargetRecord& record : records) {
    Merge(source, record, now);
  }
  RemoveExpired(now);
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

double TargetPool::PaceOf(const Target& target) const {
  double slowest = 1.0;
  for (const auto& [source, by_address] : slow_) {
    const auto found = by_address.find(target.announcement.address);
    if (found != by_address.end()) {
      slowest = std::max(slowest, found->second);
    }
  }
  return slowest;
}

bool TargetPool::IsFresh(const Target& target, TimePoint now) const {
  return target.others_reported_at != TimePoint{} &&
         now - target.others_reported_at <= options_.load_freshness;
}

double TargetPool::MeanOthersLoad(const ServiceId& service,
                                  TimePoint now) const {
  double sum = 0.0;
  std::size_t count = 0;
  for (const auto& [id, target] : targets_) {
    if (target.announcement.service == service && IsFresh(target, now)) {
      sum += target.others_load;
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

double TargetPool::LoadOf(const Target& target,
                          double mean_others_load,
                          TimePoint now) const {
  return target.in_flight +
         (IsFresh(target, now) ? target.others_load : mean_others_load);
}

double TargetPool::MinLoadOf(const Target& target,
                             double load,
                             TimePoint now) const {
  const TargetAnnouncement& known = target.announcement;
  const bool is_guess =
      !IsFresh(target, now) &&
      pauses_.HasJustEnded(known.target, known.incarnation, now);
  return is_guess ? target.in_flight : load;
}

double TargetPool::CostOf(const Target& target, double load, TimePoint now) {
  const double slots = std::max<std::uint32_t>(target.announcement.slots, 1);
  double cost = load / slots;
  if (target.is_silent()) {
    cost += kSilentCost;
  }
  if (now < target.cooldown_until) {
    cost += kCooldownCost;
  }
  const double pace = PaceOf(target);
  if (pace >= kUnresponsivePace ||
      liveness_.IsSuspect(target.announcement.target, now)) {
    cost += kSuspectCost;
  }
  if (target.announcement.domain != options_.domain) {
    cost += kOtherDomainCost;
  }
  return cost + kJitter * random_.Fraction();
}

bool TargetPool::IsSlow(const Target& target) const {
  const double pace = PaceOf(target);
  return pace > 1.0 && pace < kUnresponsivePace;
}

bool TargetPool::ShouldMoveRequests(const TargetId& id,
                                    const std::set<TargetId>& tried,
                                    TimePoint now) const {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !IsSlow(found->second)) {
    return false;
  }
  const ServiceId& service = found->second.announcement.service;
  const double mean_others_load = MeanOthersLoad(service, now);
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& item) {
    const Target& target = item.second;
    const TargetAnnouncement& reported = target.announcement;
    return reported.service == service &&
           reported.standing == Standing::kReady &&
           tried.count(item.first) == 0 && !IsSlow(target) &&
           !target.is_silent() && now >= target.cooldown_until &&
           now >= target.full_until && !IsPaused(target, now) &&
           IsWithinLimit(target, now) &&
           !liveness_.IsSuspect(item.first, now) &&
           LoadOf(target, mean_others_load, now) + 1.0 <= reported.slots;
  });
}

bool TargetPool::IsWithinLimit(const Target& target, TimePoint now) const {
  return limits_.size() == 0 ||
         limits_.MayTake(RunOf(target.announcement), now);
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
    if (reported.service != service || reported.standing != Standing::kReady ||
        target.is_silent() || IsPaused(target, now) || tried.contains(id)) {
      continue;
    }
    const TargetRun run = RunOf(reported);
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
    if (reported.service != service || reported.standing != Standing::kReady ||
        target.is_silent()) {
      continue;
    }
    const TargetRun run = RunOf(reported);
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
    if (reported.service != service || reported.standing != Standing::kReady) {
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

NoChoice TargetPool::ReasonOf(const Candidate& none) {
  if (none.is_any_full) {
    return NoChoice::kFull;
  }
  return none.is_any_paused ? NoChoice::kPaused : NoChoice::kInCooldown;
}

TargetPool::Candidate TargetPool::FindCheapest(const ServiceId& service,
                                               const std::set<TargetId>& tried,
                                               bool may_be_slow,
                                               TimePoint now) {
  Candidate best;
  const double mean_others_load = MeanOthersLoad(service, now);
  for (auto& [id, target] : targets_) {
    const TargetAnnouncement& reported = target.announcement;
    if (reported.service != service || reported.address.empty() ||
        tried.count(id) > 0 || (!may_be_slow && IsSlow(target))) {
      continue;
    }
#if !defined(BILBERRYSPOOL_MUTATION_POOL_SENDS_TO_LEAVING)
    if (reported.standing != Standing::kReady) {
      continue;
    }
#endif
    best.is_any_known = true;
    const double max_load = options_.max_load_factor * reported.slots;
    if (IsPaused(target, now)) {
      best.is_any_paused = true;
      continue;
    }
    const double load = LoadOf(target, mean_others_load, now);
    if (now < target.full_until || !IsWithinLimit(target, now) ||
        (reported.slots > 0 && MinLoadOf(target, load, now) >= max_load)) {
      best.is_any_full = true;
      continue;
    }
    const double cost = CostOf(target, load, now);
    if (best.target == nullptr || cost < best.cost) {
      best.target = &target;
      best.cost = cost;
      best.load = load;
    }
  }
  return best;
}

ChoiceOutcome TargetPool::Choose(const ServiceId& service,
                                 const std::set<TargetId>& tried,
                                 TimePoint now) {
  Candidate best = FindCheapest(service, tried, /*may_be_slow=*/false, now);
  // A slow target is better than one that may not respond at all.
  const bool is_any_good = best.target != nullptr && best.cost < kSuspectCost;
  if (!is_any_good && !best.is_any_full) {
    best = FindCheapest(service, tried, /*may_be_slow=*/true, now);
  }
  if (!best.is_any_known) {
    return NoChoice::kNone;
  }
  // If the other targets are full, one that failed recently is not chosen; the
  // service counts as full.
  if (best.target == nullptr ||
      (best.is_any_full && best.cost >= kCooldownCost)) {
    return ReasonOf(best);
  }
  Target& chosen = *best.target;
  ++chosen.in_flight;
  limits_.Take(RunOf(chosen.announcement), now);
  liveness_.OnSent(chosen.announcement.target, service, now);
  return Choice{chosen.announcement.target, chosen.announcement.incarnation,
                chosen.announcement.address, best.load,
                chosen.announcement.slots};
}

void TargetPool::OnEnded(const TargetId& id,
                         TargetOutcome outcome,
                         TimePoint now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  liveness_.OnEnded(id);
  Target& target = found->second;
  target.in_flight -= std::min<std::uint32_t>(target.in_flight, 1);
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
  return found != targets_.end() &&
         found->second.announcement.standing == Standing::kReady;
}

}  // namespace bilberryspool::traffic
