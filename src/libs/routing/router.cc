#include "libs/routing/router.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::routing {
namespace {

std::optional<HealthResult> ResultOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      return HealthResult::kGood;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kDisconnected:
      return HealthResult::kBad;
    case AttemptOutcome::kRefusedBusy:
    case AttemptOutcome::kCancelled:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

Router::Router(RouterOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      health_(options_.health),
      hints_(options_.max_hints, options_.hint_lifetime) {}

void Router::Handle(const RoutingEvent& event, TimePoint now) {
  std::visit([&](const auto& typed) { On(typed, now); }, event);
}

void Router::On(const TargetUpdated& event, TimePoint now) {
  const TargetView& view = event.view;
  const auto found = targets_.find(view.target);
  if (found == targets_.end()) {
    targets_.emplace(view.target, TrackedTarget{TargetEstimate(view, now),
                                                ++last_generation_});
  } else {
    Unindex(found->second.estimate.view());
    found->second.estimate.Update(view, now);
  }
  Index(view);
  const bool serving = view.state == TargetState::kServing;
  health_.Add(view.target, view.domain,
              serving ? view.services : std::vector<ServiceId>(), now);
}

void Router::On(const TargetRemoved& event, TimePoint now) {
  const auto found = targets_.find(event.target);
  if (found == targets_.end()) {
    return;
  }
  Unindex(found->second.estimate.view());
  targets_.erase(found);
  health_.Remove(event.target, now);
  hints_.Forget(event.target);
}

void Router::On(const LoadReported& event, TimePoint now) {
  const auto found = targets_.find(event.target);
  if (found != targets_.end()) {
    found->second.estimate.Report(event.load, now);
  }
}

void Router::On(const AttemptStarted& event, TimePoint now) {
  const auto found = targets_.find(event.target);
  if (found == targets_.end()) {
    return;
  }
  const bool probe = health_.state(event.target, now) == HealthState::kProbing;
  const bool added =
      attempts_
          .emplace(event.attempt,
                   Attempt{event.target, found->second.generation, now,
                           event.prefix_hashes, event.service, probe})
          .second;
  BILBERRYSPOOL_INVARIANT(added, "an attempt id is used once");
  found->second.estimate.Started(now);
  if (probe) {
    health_.ProbeStarted(event.target);
  }
}

void Router::On(const FirstToken& event, TimePoint now) {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt& attempt = found->second;
  TargetEstimate* estimate = EstimateOf(attempt);
  if (estimate == nullptr) {
    return;
  }
  const Duration latency = now - attempt.started_at;
  health_.RecordLatency(attempt.target, latency);
  for (const std::uint64_t prefix : attempt.prefix_hashes) {
    hints_.Add(attempt.target, prefix, now);
  }
}

void Router::On(const AttemptFinished& event, TimePoint now) {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  TargetEstimate* estimate = EstimateOf(attempt);
  if (estimate == nullptr) {
    return;
  }
  estimate->Ended(now);
  if (event.load.has_value()) {
    estimate->Report(*event.load, now);
  }
  RecordOutcome(attempt, event.outcome, now);
}

void Router::On(const CacheHint& event, TimePoint now) {
  if (event.state == CacheState::kEvicted) {
    hints_.Remove(event.target, event.prefix_hash);
    return;
  }
  if (targets_.contains(event.target)) {
    hints_.Add(event.target, event.prefix_hash, now);
  }
}

void Router::On(const ConfigChanged& event, TimePoint /*now*/) {
  placements_.clear();
  for (const Placement& placement : event.placements) {
    placements_[placement.service] = Allowed{
        placement.every_target,
        std::set<TargetId>(placement.targets.begin(), placement.targets.end())};
  }
  distances_.clear();
  for (const DomainDistance& distance : event.distances) {
    distances_[{distance.first, distance.second}] = distance.delay;
    distances_[{distance.second, distance.first}] = distance.delay;
  }
}

void Router::Index(const TargetView& view) {
  for (const ServiceId& service : view.services) {
    by_service_[service].insert(view.target);
  }
}

void Router::Unindex(const TargetView& view) {
  for (const ServiceId& service : view.services) {
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) {
      continue;
    }
    found->second.erase(view.target);
    if (found->second.empty()) {
      by_service_.erase(found);
    }
  }
}

TargetEstimate* Router::EstimateOf(const Attempt& attempt) {
  const auto found = targets_.find(attempt.target);
  if (found == targets_.end() ||
      found->second.generation != attempt.generation) {
    return nullptr;
  }
  return &found->second.estimate;
}

void Router::RecordOutcome(const Attempt& attempt,
                           AttemptOutcome outcome,
                           TimePoint now) {
  if (outcome == AttemptOutcome::kSucceeded) {
    run_times_.try_emplace(attempt.service, options_.initial_run_time)
        .first->second.Observe(now - attempt.started_at, 0);
  }
  const std::optional<HealthResult> result = ResultOf(outcome);
  if (attempt.probe) {
    health_.ProbeEnded(attempt.target, result, now);
    return;
  }
  if (result.has_value()) {
    health_.Record(attempt.target, *result, now);
  }
}

const TargetEstimate* Router::estimate(const TargetId& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : &found->second.estimate;
}

}  // namespace bilberryspool::routing
