#ifndef LIBS_ROUTING_ROUTING_POLICY_H_
#define LIBS_ROUTING_ROUTING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/routing/choice.h"

namespace bilberryspool::routing {

// Picks any candidate with equal probability. Baseline for comparisons.
struct RandomPolicy {};

// Picks the smallest load as last reported, without correction. Baseline for
// comparisons: all entries send to the same target until the next report.
struct LeastReportedPolicy {};

// Picks the less loaded, by corrected load, of two candidates drawn at random.
struct TwoChoicesPolicy {};

// The default policy. The score of a candidate is its corrected load over its
// weighted concurrency limit, plus a penalty for the distance of its failure
// domain. Draws among the candidates whose scores are close to the best.
struct ChosenPolicy {
  // Penalties added to the load ratio of a target in another failure domain: a
  // fixed one, and one per millisecond of one-way delay. Apart from avoiding
  // the delay, they keep most entries away from any one target, so that fewer
  // of them act on the same late report.
  double spill_penalty = 0.3;
  double penalty_per_millisecond = 0.05;
  // Subtracted from the score of a target that has the whole prefix cached,
  // unless its load ratio exceeds `affinity_load_limit`.
  double affinity_bonus = 0.25;
  double affinity_load_limit = 0.8;
  // Candidates whose score differs from the best by at most this count as
  // equal, so that entries with the same reports don't all send to the same
  // target.
  double near_equal = 0.1;
  // Number of candidates drawn from the entry's own failure domain and from all
  // others; one candidate that has most of the prefix cached is added. Without
  // sampling, the more entries there are, the more of them would agree on the
  // same few best candidates because of the same late reports.
  std::size_t own_sample = 3;
  std::size_t other_sample = 2;
};

using RoutingPolicy = std::
    variant<RandomPolicy, LeastReportedPolicy, TwoChoicesPolicy, ChosenPolicy>;

// A target that passed all checks, with the properties that policies compare.
struct Candidate {
  const TargetId* target = nullptr;
  const FailureDomain* domain = nullptr;
  // Number of requests, with and without correction for the entry's own
  // requests and for the age of the report.
  double corrected_load = 0.0;
  double reported_load = 0.0;
  // Number of requests that the target can run concurrently.
  std::uint32_t limit = 1;
  // Product of group weight, slow-start weight and health weight, in (0, 1].
  double weight = 1.0;
  bool own_domain = true;
  Duration distance{0};
  // Share of the request's prefixes assumed to be cached, in [0, 1].
  double cached = 0.0;
};

struct PolicyPick {
  std::size_t index = 0;
  RouteRule rule = RouteRule::kNone;
  // One for each candidate, in the order of the candidates; lower is better.
  std::vector<double> scores;
};

// Chooses among `candidates`, which must not be empty.
PolicyPick Pick(const RoutingPolicy& policy,
                const std::vector<Candidate>& candidates,
                Random& random);

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_ROUTING_POLICY_H_
