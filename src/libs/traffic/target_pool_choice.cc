// The part of TargetPool that compares targets and chooses one.

#include <algorithm>

#include "libs/traffic/target_pool.h"

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

}  // namespace

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
    return reported.service == service && IsReady(target) &&
           tried.count(item.first) == 0 && !IsSlow(target) &&
           !target.is_silent() && now >= target.cooldown_until &&
           now >= target.full_until && !IsPaused(target, now) &&
           IsWithinLimit(target, now) &&
           !liveness_.IsSuspect(item.first, now) &&
           LoadOf(target, mean_others_load, now) + 1.0 <= reported.slots;
  });
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
    if (evacuations_.IsEvacuated(reported.domain)) {
      best.is_any_evacuated = true;
      continue;
    }
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
    return best.is_any_evacuated ? NoChoice::kEvacuated : NoChoice::kNone;
  }
  // If the other targets are full, one that failed recently is not chosen; the
  // service counts as full.
  if (best.target == nullptr ||
      (best.is_any_full && best.cost >= kCooldownCost)) {
    return ReasonOf(best);
  }
  Target& chosen = *best.target;
  ++chosen.in_flight;
  limits_.Take(chosen.announcement.run(), now);
  liveness_.OnSent(chosen.announcement.target, service, now);
  return Choice{chosen.announcement.target, chosen.announcement.incarnation,
                chosen.announcement.address, best.load,
                chosen.announcement.slots};
}

}  // namespace bilberryspool::traffic
