#include "libs/routing/routing_policy.h"

#include <algorithm>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::routing {
namespace {

// Load including the new request, relative to the weighted limit of the target.
double LoadRatio(const Candidate& candidate) {
  const double capacity = candidate.limit * candidate.weight;
  return (candidate.corrected_load + 1.0) / std::max(capacity, 0.01);
}

std::vector<double> LoadRatios(const std::vector<Candidate>& candidates) {
  std::vector<double> scores;
  scores.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scores.push_back(LoadRatio(candidate));
  }
  return scores;
}

std::size_t IndexOfMin(const std::vector<double>& scores) {
  const auto min_score = std::min_element(scores.begin(), scores.end());
  return static_cast<std::size_t>(min_score - scores.begin());
}

PolicyPick PickRandom(const std::vector<Candidate>& candidates,
                      Random& random) {
  return PolicyPick{random.Below(candidates.size()), RouteRule::kRandom,
                    LoadRatios(candidates)};
}

PolicyPick PickLeastReported(const std::vector<Candidate>& candidates) {
  std::vector<double> scores;
  scores.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scores.push_back(candidate.reported_load / candidate.limit);
  }
  const std::size_t index = IndexOfMin(scores);
  return PolicyPick{index, RouteRule::kLeastReported, std::move(scores)};
}

PolicyPick PickOfTwo(const std::vector<Candidate>& candidates, Random& random) {
  std::vector<double> scores = LoadRatios(candidates);
  const std::size_t first = random.Below(candidates.size());
  std::size_t second = random.Below(candidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  const std::size_t index = scores[second] < scores[first] ? second : first;
  return PolicyPick{index, RouteRule::kTwoChoices, std::move(scores)};
}

double ChosenScore(const ChosenPolicy& policy, const Candidate& candidate) {
  const double ratio = LoadRatio(candidate);
  double score = ratio;
  if (!candidate.own_domain) {
    score += policy.spill_penalty;
    score +=
        policy.penalty_per_millisecond * ToMilliseconds(candidate.distance);
  }
  // Cache events are late and incomplete. Without this limit the bonus would
  // keep sending requests with a popular prefix to a target that has long been
  // overloaded.
  if (ratio <= policy.affinity_load_limit) {
    score -= policy.affinity_bonus * candidate.cached;
  }
  return score;
}

// Draws one of `near` with a probability proportional to the weighted limit.
std::size_t DrawByWeight(const std::vector<Candidate>& candidates,
                         const std::vector<std::size_t>& near,
                         Random& random) {
  double total = 0.0;
  for (const std::size_t index : near) {
    total += candidates[index].limit * candidates[index].weight;
  }
  double drawn = random.Fraction() * total;
  for (const std::size_t index : near) {
    drawn -= candidates[index].limit * candidates[index].weight;
    if (drawn < 0.0) {
      return index;
    }
  }
  return near.back();
}

RouteRule RuleOf(const ChosenPolicy& policy, const Candidate& candidate) {
  const bool cached = candidate.cached > 0.0;
  if (cached && LoadRatio(candidate) <= policy.affinity_load_limit) {
    return RouteRule::kPrefixAffinity;
  }
  return candidate.own_domain ? RouteRule::kOwnDomain : RouteRule::kSpill;
}

// Appends up to `count` random elements of `from` to `to`, without repetition.
void AppendSample(std::vector<std::size_t> from,
                  std::size_t count,
                  std::vector<std::size_t>& to,
                  Random& random) {
  for (std::size_t i = 0; i < count && !from.empty(); ++i) {
    const std::size_t drawn = random.Below(from.size());
    to.push_back(from[drawn]);
    from[drawn] = from.back();
    from.pop_back();
  }
}

// Indices of the candidates that are compared for one request; at least one.
std::vector<std::size_t> SampleCandidates(
    const ChosenPolicy& policy,
    const std::vector<Candidate>& candidates,
    Random& random) {
  std::vector<std::size_t> own;
  std::vector<std::size_t> other;
  std::vector<std::size_t> most_cached;
  double most = 0.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    (candidates[i].own_domain ? own : other).push_back(i);
    if (candidates[i].cached > most) {
      most = candidates[i].cached;
      most_cached.clear();
    }
    if (candidates[i].cached > 0.0 && candidates[i].cached == most) {
      most_cached.push_back(i);
    }
  }
  std::vector<std::size_t> sample;
  AppendSample(std::move(own), std::max<std::size_t>(1, policy.own_sample),
               sample, random);
  AppendSample(std::move(other), std::max<std::size_t>(1, policy.other_sample),
               sample, random);
  // Drawn at random if several have the prefix cached: a fixed choice would
  // attract the requests of all entries.
  AppendSample(std::move(most_cached), 1, sample, random);
  std::sort(sample.begin(), sample.end());
  sample.erase(std::unique(sample.begin(), sample.end()), sample.end());
  return sample;
}

PolicyPick PickChosen(const ChosenPolicy& policy,
                      const std::vector<Candidate>& candidates,
                      Random& random) {
  std::vector<double> scores;
  scores.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scores.push_back(ChosenScore(policy, candidate));
  }
  const std::vector<std::size_t> sample =
      SampleCandidates(policy, candidates, random);
  double min_score = scores[sample.front()];
  for (const std::size_t index : sample) {
    min_score = std::min(min_score, scores[index]);
  }
  std::vector<std::size_t> near;
  for (const std::size_t index : sample) {
    if (scores[index] <= min_score + policy.near_equal) {
      near.push_back(index);
    }
  }
  const std::size_t index = DrawByWeight(candidates, near, random);
  return PolicyPick{index, RuleOf(policy, candidates[index]),
                    std::move(scores)};
}

}  // namespace

PolicyPick Pick(const RoutingPolicy& policy,
                const std::vector<Candidate>& candidates,
                Random& random) {
  BILBERRYSPOOL_INVARIANT(!candidates.empty(), "a pick needs a candidate");
  if (candidates.size() == 1) {
    return PolicyPick{0, RouteRule::kOnlyCandidate, LoadRatios(candidates)};
  }
  return std::visit(Overloaded{[&](const RandomPolicy&) {
                                 return PickRandom(candidates, random);
                               },
                               [&](const LeastReportedPolicy&) {
                                 return PickLeastReported(candidates);
                               },
                               [&](const TwoChoicesPolicy&) {
                                 return PickOfTwo(candidates, random);
                               },
                               [&](const ChosenPolicy& chosen) {
                                 return PickChosen(chosen, candidates, random);
                               }},
                    policy);
}

}  // namespace bilberryspool::routing
