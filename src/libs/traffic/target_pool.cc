#include "libs/traffic/target_pool.h"

#include <algorithm>

namespace bilberryspool::traffic {

namespace {

// Costs beside the share of slots in use. A silent target comes after all that
// are heard, a resting one after all that are not.
constexpr double kSilentCost = 100.0;
constexpr double kRestingCost = 10.0;
// One that has fallen silent comes after those that answer, but is no reason
// to refuse.
constexpr double kSuspectCost = 5.0;
// Another failure domain costs little: a hop more, and bytes between domains.
constexpr double kOtherDomainCost = 0.02;
// For each time that a target is slower than a healthy one; a group steps as
// slowly as its slowest rank's own requests, so that one gets the fewest.
constexpr double kSlowCost = 0.3;
constexpr double kMostSlowCost = 0.9;
// Breaks ties differently on each gateway, so that they don't all choose the
// same target.
constexpr double kJitter = 0.03;

}  // namespace

bool TargetPool::Target::is_silent() const {
  return !silent_at.empty() &&
         std::all_of(silent_at.begin(), silent_at.end(),
                     [](const auto& item) { return item.second; });
}

TargetPool::TargetPool(TargetPoolOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void TargetPool::Update(const std::string& source,
                        bool is_whole,
                        const std::vector<TargetRecord>& records,
                        TimePoint now) {
  if (is_whole) {
    for (auto& [id, target] : targets_) {
      target.silent_at.erase(source);
    }
  }
  for (const TargetRecord& record : records) {
    Merge(source, record, now);
  }
  Forget(now);
}

void TargetPool::Merge(const std::string& source,
                       const TargetRecord& record,
                       TimePoint now) {
  const TargetAnnouncement& told = record.announcement;
  Target& target = targets_[told.target];
  TargetAnnouncement& known = target.announcement;
  const Standing standing = std::max(known.standing, told.standing);
  const bool is_new = known.target != told.target;
  const bool was_silent = !is_new && target.is_silent();
  // A withdrawal says nothing but the name.
  const bool has_details = !told.address.empty();
  if (has_details && (is_new || told.sequence >= known.sequence)) {
    known = told;
  }
  known.target = told.target;
  known.standing = standing;
  target.silent_at[source] = record.is_silent;
  target.changed_at = now;
  const bool has_returned = is_new || (was_silent && !target.is_silent());
  outlook_.Note(known, has_returned, now);
}

void TargetPool::Forget(TimePoint now) {
  std::erase_if(targets_, [&](const auto& item) {
    const Target& target = item.second;
    const bool is_over = target.announcement.standing == Standing::kGone ||
                         target.is_silent() || target.silent_at.empty();
    return is_over && target.in_flight == 0 &&
           now - target.changed_at > options_.memory;
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
  return target.others_at != TimePoint{} &&
         now - target.others_at <= options_.load_freshness;
}

double TargetPool::MeanOthers(const ServiceId& service, TimePoint now) const {
  double sum = 0.0;
  std::size_t count = 0;
  for (const auto& [id, target] : targets_) {
    if (target.announcement.service == service && IsFresh(target, now)) {
      sum += target.others;
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

double TargetPool::LoadOf(const Target& target,
                          double mean_others,
                          TimePoint now) const {
  return target.in_flight +
         (IsFresh(target, now) ? target.others : mean_others);
}

double TargetPool::CostOf(const Target& target, double load, TimePoint now) {
  const double slots = std::max<std::uint32_t>(target.announcement.slots, 1);
  double cost = load / slots;
  if (target.is_silent()) {
    cost += kSilentCost;
  }
  if (now < target.rests_until) {
    cost += kRestingCost;
  }
  const double pace = PaceOf(target);
  if (pace >= kMissingPace ||
      hearing_.IsSuspect(target.announcement.target, now)) {
    cost += kSuspectCost;
  }
  cost += std::min(kSlowCost * (pace - 1.0), kMostSlowCost);
  if (target.announcement.domain != options_.domain) {
    cost += kOtherDomainCost;
  }
  return cost + kJitter * random_.Fraction();
}

ChoiceOutcome TargetPool::Choose(const ServiceId& service,
                                 const std::set<TargetId>& tried,
                                 TimePoint now) {
  Target* best = nullptr;
  double best_cost = 0.0;
  bool is_known = false;
  bool has_full = false;
  const double mean_others = MeanOthers(service, now);
  double best_load = 0.0;
  for (auto& [id, target] : targets_) {
    const TargetAnnouncement& told = target.announcement;
    if (told.service != service || told.address.empty() ||
        tried.count(id) > 0) {
      continue;
    }
#if !defined(BILBERRYSPOOL_MUTATION_POOL_SENDS_TO_LEAVING)
    if (told.standing != Standing::kReady) {
      continue;
    }
#endif
    is_known = true;
    const double most = options_.fullest * told.slots;
    const double load = LoadOf(target, mean_others, now);
    if (now < target.full_until || (told.slots > 0 && load >= most)) {
      has_full = true;
      continue;
    }
    const double cost = CostOf(target, load, now);
    if (best == nullptr || cost < best_cost) {
      best = &target;
      best_cost = cost;
      best_load = load;
    }
  }
  if (!is_known) {
    return NoChoice::kNone;
  }
  // Where the others are full, one that failed lately is the only place left
  // to wait for.
  if (best == nullptr || (has_full && best_cost >= kRestingCost)) {
    return has_full ? NoChoice::kFull : NoChoice::kResting;
  }
  ++best->in_flight;
  hearing_.OnSent(best->announcement.target, service, now);
  return Choice{best->announcement.target, best->announcement.address,
                best_load, best->announcement.slots};
}

void TargetPool::OnEnded(const TargetId& id,
                         TargetOutcome outcome,
                         TimePoint now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  hearing_.OnEnded(id);
  Target& target = found->second;
  target.in_flight -= std::min<std::uint32_t>(target.in_flight, 1);
  switch (outcome) {
    case TargetOutcome::kGood:
      target.failures_in_row = 0;
      target.rests_until = TimePoint{};
      return;
    case TargetOutcome::kFull:
      target.full_until = now + options_.full_rest;
      return;
    case TargetOutcome::kReplaced:
      target.announcement.standing = Standing::kGone;
      target.changed_at = now;
      return;
    case TargetOutcome::kFailed:
      break;
  }
  constexpr std::uint32_t kMostDoublings = 10;
  const std::uint32_t doublings =
      std::min(target.failures_in_row, kMostDoublings);
  ++target.failures_in_row;
  target.rests_until = now + std::min(options_.first_rest * (1U << doublings),
                                      options_.longest_rest);
}

void TargetPool::OnFirstByte(const TargetId& id,
                             Duration waited,
                             TimePoint now) {
  hearing_.OnFirstByte(id, waited, now);
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    outlook_.NoteServed(found->second.announcement.service);
  }
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
  target.others = std::max(0.0, all - target.in_flight);
  target.others_at = now;
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
