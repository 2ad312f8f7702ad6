// The part of TargetPool that compares targets and chooses one.

#include <algorithm>
#include <cmath>

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

// Targets of other groups come after those of the chosen one, unless these are
// full, and before suspect ones.
constexpr double kOtherGroupCost = 2.0;
// A target that is known to be warm may turn cold before the news arrives, so
// others come first if this gateway has no place there. This only matters where
// the gateways send a good part of what cold targets tolerate: with less, no
// target gets more than that, and choosing by place instead of by load gives
// some ranks of a group so much more than others that every step takes longer.
constexpr double kNoColdPlaceCost = 3.0;
constexpr double kScarcePlaces = 0.5;
// Spread of the choice among the ranks of a group, as a share of their slots:
// all gateways hear of the same loads at the same time, and the rank with the
// lowest load would get the requests of all until the next report.
constexpr double kRankSpread = 0.2;

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

void TargetPool::SetGroupLoads(const std::string& source,
                               const std::vector<group_loads::GroupLoad>& loads,
                               TimePoint now) {
  group_loads_.OnReported(source, loads, now);
  std::map<GroupId, const group_loads::GroupLoad*> by_group;
  for (const group_loads::GroupLoad& load : loads) {
    by_group[load.group] = &load;
  }
  for (auto& [id, target] : targets_) {
    const auto& place = target.announcement.group;
    if (!place.has_value()) {
      continue;
    }
    const auto found = by_group.find(place->group);
    if (found == by_group.end() ||
        place->rank >= found->second->by_rank.size()) {
      continue;
    }
    const double all = found->second->by_rank[place->rank];
    target.others_load = std::max(0.0, all - target.in_flight);
    target.others_reported_at = now;
  }
}

void TargetPool::OnGroupRefused(const TargetId& id, TimePoint now) {
  const auto found = targets_.find(id);
  if (found != targets_.end() && found->second.announcement.group.has_value()) {
    group_loads_.OnGroupRefused(found->second.announcement.group->group, now);
  }
}

std::optional<double> TargetPool::LoadFractionOf(const ServiceId& service,
                                                 TimePoint now) const {
  const auto of_groups = group_loads_.FractionOf(service, now);
  if (of_groups.has_value()) {
    return of_groups;
  }
  double load = 0.0;
  double slots = 0.0;
  bool is_any_fresh = false;
  const double mean_others_load = MeanOthersLoad(service, now);
  for (const auto& [id, target] : targets_) {
    const TargetAnnouncement& known = target.announcement;
    if (known.service != service || !IsReady(target) || target.is_silent() ||
        known.group.has_value()) {
      continue;
    }
    is_any_fresh = is_any_fresh || IsFresh(target, now);
    load += LoadOf(target, mean_others_load, now);
    slots += known.slots;
  }
  return is_any_fresh && slots > 0.0 ? std::optional<double>(load / slots)
                                     : std::nullopt;
}

std::optional<GroupId> TargetPool::ChooseGroup(const ServiceId& service,
                                               TimePoint now) {
  if (!group_loads_.HasSeveralGroups(service, now)) {
    return std::nullopt;
  }
  return group_loads_.Choose(service, random_.Fraction(), now);
}

double TargetPool::GroupCostOf(const Target& target,
                               const GroupId& chosen,
                               TimePoint now) {
  const auto& place = target.announcement.group;
  if (!place.has_value()) {
    return 0.0;
  }
  if (place->group != chosen) {
    return group_loads_.IsOpen(place->group, now).value_or(true)
               ? kOtherGroupCost
               : kSuspectCost;
  }
  // With this noise, the rank of least cost is drawn with probabilities in
  // proportion to exp(-load / kRankSpread).
  const double draw = std::max(random_.Fraction(), 1e-9);
  return kRankSpread * std::log(-std::log(draw));
}

bool TargetPool::AreColdPlacesScarce(const ServiceId& service,
                                     TimePoint now) const {
  if (!cold_starts_.IsLimited(service)) {
    return false;
  }
  double places = 0.0;
  double sent = 0.0;
  for (const auto& [id, target] : targets_) {
    if (target.announcement.service != service || !IsReady(target)) {
      continue;
    }
    const auto use = cold_starts_.UseOf(service, id, now);
    places += static_cast<double>(use.places);
    sent += static_cast<double>(use.sent);
  }
  return sent >= kScarcePlaces * places;
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
  if (none.is_any_cold) {
    return NoChoice::kCold;
  }
  return none.is_any_paused ? NoChoice::kPaused : NoChoice::kInCooldown;
}

TargetPool::Candidate TargetPool::FindCheapest(const ServiceId& service,
                                               const std::set<TargetId>& tried,
                                               bool may_be_slow,
                                               TimePoint now) {
  Candidate best;
  const double mean_others_load = MeanOthersLoad(service, now);
  const auto group = ChooseGroup(service, now);
  const bool are_places_scarce = AreColdPlacesScarce(service, now);
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
    const bool has_cold_place = !cold_starts_.IsLimited(service) ||
                                cold_starts_.MayTake(service, id, now);
    if (!has_cold_place && MayBeCold(target, now)) {
      best.is_any_cold = true;
      continue;
    }
    const double cost =
        CostOf(target, load, now) +
        (group.has_value() ? GroupCostOf(target, *group, now) : 0.0) +
        (has_cold_place || !are_places_scarce ? 0.0 : kNoColdPlaceCost);
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
  return Take(best, service, now);
}

std::optional<Choice> TargetPool::ChooseToMove(const ServiceId& service,
                                               const std::set<TargetId>& tried,
                                               TimePoint now) {
  const Candidate best =
      FindCheapest(service, tried, /*may_be_slow=*/false, now);
  const bool is_good = best.target != nullptr && best.cost < kSuspectCost;
  return is_good ? std::optional<Choice>(Take(best, service, now))
                 : std::nullopt;
}

Choice TargetPool::Take(const Candidate& candidate,
                        const ServiceId& service,
                        TimePoint now) {
  Target& chosen = *candidate.target;
  ++chosen.in_flight;
  limits_.Take(chosen.announcement.run(), now);
  cold_starts_.Take(service, chosen.announcement.target, now);
  liveness_.OnSent(chosen.announcement.target, service, now);
  if (chosen.announcement.group.has_value()) {
    group_loads_.OnSent(chosen.announcement.group->group);
  }
  return Choice{chosen.announcement.target, chosen.announcement.incarnation,
                chosen.announcement.address, candidate.load,
                chosen.announcement.slots};
}

}  // namespace bilberryspool::traffic
