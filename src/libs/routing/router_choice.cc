// The part of Router that finds the candidates for a request and chooses among
// them.

#include <algorithm>
#include <array>
#include <cmath>

#include "libs/base/check.h"
#include "libs/routing/router.h"

namespace bilberryspool::routing {
namespace {

// Retry hint if no target is serving: about the time in which membership is
// expected to change.
constexpr Duration kNoneServingRetry = Seconds(2);

template <typename Container, typename Value>
bool Contains(const Container& container, const Value& value) {
  return std::find(container.begin(), container.end(), value) !=
         container.end();
}

}  // namespace

struct Router::Survey {
  std::vector<Candidate> candidates;
  // Estimates of the candidates, in the same order.
  std::vector<const TargetEstimate*> estimates;
  std::array<std::uint32_t, kExclusionCount> excluded{};
  // Targets in state kProbing without a probe in flight.
  std::vector<const TargetEstimate*> probes;
  std::optional<TimePoint> earliest_ejection_end;
};

Choice Router::Choose(const RouteRequest& request, TimePoint now) {
  const auto allowed = placements_.find(request.service);
  if (allowed == placements_.end()) {
    return NoTarget{NoTargetReason::kUnknownService, Duration(0),
                    RouteExplanation{}};
  }
  Survey survey = SurveyTargets(request, allowed->second, now);
  if (!survey.probes.empty()) {
    const std::size_t drawn = random_.Below(survey.probes.size());
    RouteExplanation explanation;
    explanation.rule = RouteRule::kProbe;
    explanation.candidates = survey.candidates.size();
    explanation.excluded = survey.excluded;
    return Selected{survey.probes[drawn]->view().target,
                    std::move(explanation)};
  }
  if (survey.candidates.empty()) {
    return Refuse(survey, request, now);
  }
  return Select(std::move(survey), request, now);
}

Router::Survey Router::SurveyTargets(const RouteRequest& request,
                                     const Allowed& allowed,
                                     TimePoint now) const {
  Survey survey;
  const auto pool = by_service_.find(request.service);
  if (pool == by_service_.end()) {
    return survey;
  }
  for (const TargetId& target : pool->second) {
    const TargetEstimate& estimate = targets_.at(target).estimate;
    const auto excluded = FindExclusion(request, allowed, estimate, now);
    if (!excluded.has_value()) {
      survey.candidates.push_back(MakeCandidate(request, estimate, now));
      survey.estimates.push_back(&estimate);
      continue;
    }
    ++survey.excluded[static_cast<std::size_t>(*excluded)];
    if (*excluded != Exclusion::kEjected) {
      continue;
    }
    const TimePoint until = health_.ejected_until(target);
    survey.earliest_ejection_end =
        std::min(survey.earliest_ejection_end.value_or(until), until);
    if (request.idempotent && now >= until && health_.can_probe(target)) {
      survey.probes.push_back(&estimate);
    }
  }
  BlendOldReports(survey, now);
  return survey;
}

std::optional<Exclusion> Router::FindExclusion(const RouteRequest& request,
                                               const Allowed& allowed,
                                               const TargetEstimate& estimate,
                                               TimePoint now) const {
  const TargetView& view = estimate.view();
  if (!allowed.every_target && !allowed.targets.contains(view.target)) {
    return Exclusion::kNotPlaced;
  }
  if (!request.adapter.empty() && !Contains(view.adapters, request.adapter)) {
    return Exclusion::kAdapterMissing;
  }
#if !defined(BILBERRYSPOOL_MUTATION_ROUTE_TO_DRAINING)
  if (view.state != TargetState::kServing) {
    return Exclusion::kNotServing;
  }
#endif
  if (view.group_weight <= 0.0) {
    return Exclusion::kGroupHeld;
  }
  if (Contains(request.excluded, view.target)) {
    return Exclusion::kAlreadyTried;
  }
  const HealthState state = health_.state(view.target, now);
  if (state == HealthState::kEjected || state == HealthState::kProbing) {
    return Exclusion::kEjected;
  }
  if (estimate.corrected_load() >= options_.overfill * estimate.limit()) {
    return Exclusion::kAtLimit;
  }
  return std::nullopt;
}

Candidate Router::MakeCandidate(const RouteRequest& request,
                                const TargetEstimate& estimate,
                                TimePoint now) const {
  const TargetView& view = estimate.view();
  Candidate candidate;
  candidate.target = &view.target;
  candidate.domain = &view.domain;
  candidate.corrected_load = estimate.corrected_load();
  candidate.reported_load = estimate.reported_load();
  candidate.limit = estimate.limit();
  candidate.weight =
      std::min(1.0, view.group_weight) * health_.weight(view.target, now);
  candidate.own_domain = view.domain == request.own_domain;
  candidate.distance = Distance(request.own_domain, view.domain);
  candidate.cached =
      hints_.CachedShare(view.target, request.prefix_hashes, now);
  return candidate;
}

void Router::BlendOldReports(Survey& survey, TimePoint now) const {
  double others = 0.0;
  double slots = 0.0;
  for (const TargetEstimate* estimate : survey.estimates) {
    others += estimate->load_of_others();
    slots += estimate->limit();
  }
  if (slots <= 0.0) {
    return;
  }
  const double others_per_slot = others / slots;
  for (std::size_t i = 0; i < survey.candidates.size(); ++i) {
    const TargetEstimate& estimate = *survey.estimates[i];
    const double half_lives = ToSeconds(estimate.report_age(now)) /
                              ToSeconds(options_.report_half_life);
    const double trust = std::exp2(-std::max(0.0, half_lives));
    const double expected = others_per_slot * estimate.limit();
    survey.candidates[i].corrected_load =
        static_cast<double>(estimate.own_in_flight()) +
        trust * estimate.load_of_others() + (1.0 - trust) * expected;
  }
}

NoTarget Router::Refuse(const Survey& survey,
                        const RouteRequest& request,
                        TimePoint now) const {
  const auto count = [&](Exclusion exclusion) {
    return survey.excluded[static_cast<std::size_t>(exclusion)];
  };
  NoTarget refusal;
  refusal.explanation.excluded = survey.excluded;
  if (count(Exclusion::kAtLimit) > 0) {
    refusal.reason = NoTargetReason::kAllAtLimit;
    const auto run_time = run_times_.find(request.service);
    const limits::DrainRate rate =
        run_time == run_times_.end()
            ? limits::DrainRate(options_.initial_run_time)
            : run_time->second;
    refusal.retry_after = rate.TimeToDrain(
        1.0, static_cast<double>(Capacity(request.service, 1.0, now)));
    return refusal;
  }
  if (survey.earliest_ejection_end.has_value()) {
    refusal.reason = NoTargetReason::kAllEjected;
    refusal.retry_after =
        std::max(Duration(0), *survey.earliest_ejection_end - now);
    return refusal;
  }
  refusal.reason = count(Exclusion::kAlreadyTried) > 0
                       ? NoTargetReason::kAllTried
                       : NoTargetReason::kNoneServing;
  refusal.retry_after = kNoneServingRetry;
  return refusal;
}

Selected Router::Select(Survey survey,
                        const RouteRequest& request,
                        TimePoint now) {
  const PolicyPick pick = Pick(options_.policy, survey.candidates, random_);
  Selected selected;
  selected.target = *survey.candidates[pick.index].target;
  selected.explanation.rule = pick.rule;
  selected.explanation.candidates = survey.candidates.size();
  selected.explanation.excluded = survey.excluded;
  std::vector<std::size_t> order(survey.candidates.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  const std::size_t listed = std::min(options_.listed_candidates, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(listed),
                    order.end(), [&](std::size_t left, std::size_t right) {
                      return pick.scores[left] < pick.scores[right];
                    });
  for (std::size_t i = 0; i < listed; ++i) {
    const Candidate& candidate = survey.candidates[order[i]];
    selected.explanation.best.push_back(
        CandidateScore{*candidate.target, *candidate.domain,
                       candidate.corrected_load, pick.scores[order[i]]});
  }
  CheckSelected(selected.target, request, now);
  return selected;
}

void Router::CheckSelected(const TargetId& target,
                           const RouteRequest& request,
                           TimePoint now) const {
  const TargetView& view = targets_.at(target).estimate.view();
  BILBERRYSPOOL_INVARIANT(view.state == TargetState::kServing,
                          "only a serving target gets new work");
  BILBERRYSPOOL_INVARIANT(Contains(view.services, request.service),
                          "a chosen target offers the service");
  BILBERRYSPOOL_INVARIANT(!Contains(request.excluded, target),
                          "a tried target isn't chosen again");
  BILBERRYSPOOL_INVARIANT(health_.state(target, now) != HealthState::kEjected,
                          "an ejected target gets no work");
}

std::size_t Router::Capacity(const ServiceId& service,
                             double share,
                             TimePoint now) const {
  const auto pool = by_service_.find(service);
  const auto allowed = placements_.find(service);
  if (pool == by_service_.end() || allowed == placements_.end()) {
    return 0;
  }
  double limits = 0.0;
  double room = 0.0;
  double own = 0.0;
  RouteRequest request;
  request.service = service;
  for (const TargetId& target : pool->second) {
    const TargetEstimate& estimate = targets_.at(target).estimate;
    const auto excluded =
        FindExclusion(request, allowed->second, estimate, now);
    if (excluded.has_value() && *excluded != Exclusion::kAtLimit) {
      continue;
    }
    const double weight = std::min(1.0, estimate.view().group_weight);
    const double limit = options_.headroom * estimate.limit() * weight;
    limits += limit;
    room += limit - estimate.corrected_load();
    own += static_cast<double>(estimate.own_in_flight());
  }
  const double capacity = std::max(share * limits, own + share * room);
  return static_cast<std::size_t>(std::ceil(capacity));
}

Duration Router::Distance(const FailureDomain& from,
                          const FailureDomain& to) const {
  const auto found = distances_.find({from, to});
  return found == distances_.end() ? Duration(0) : found->second;
}

}  // namespace bilberryspool::routing
