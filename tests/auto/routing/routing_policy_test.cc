#include "libs/routing/routing_policy.h"

#include <doctest/doctest.h>

#include <set>

#include "libs/routing/affinity_hints.h"

namespace bilberryspool::routing {
namespace {

Candidate Make(double load, bool own_domain, double cached, double weight) {
  Candidate candidate;
  candidate.corrected_load = load;
  candidate.reported_load = load;
  candidate.limit = 10;
  candidate.own_domain = own_domain;
  candidate.cached = cached;
  candidate.weight = weight;
  return candidate;
}

TEST_CASE("the chosen policy picks the expected one of two candidates") {
  struct Row {
    const char* name;
    Candidate first;
    Candidate second;
    std::set<std::size_t> picked;
    RouteRule rule;
  };
  const Row rows[] = {{"own domain preferred",
                       Make(3, true, 0, 1),
                       Make(2, false, 0, 1),
                       {0},
                       RouteRule::kOwnDomain},
                      {"other domain if the own one has more load",
                       Make(9, true, 0, 1),
                       Make(2, false, 0, 1),
                       {1},
                       RouteRule::kSpill},
                      {"drawn among nearly equal scores",
                       Make(3, true, 0, 1),
                       Make(2.5, true, 0, 1),
                       {0, 1},
                       RouteRule::kOwnDomain},
                      {"a cached prefix is preferred",
                       Make(3, true, 1, 1),
                       Make(2, true, 0, 1),
                       {0},
                       RouteRule::kPrefixAffinity},
                      {"a cached prefix is ignored under overload",
                       Make(8, true, 1, 1),
                       Make(7, true, 0, 1),
                       {0, 1},
                       RouteRule::kOwnDomain},
                      {"a much lower load outweighs a cached prefix",
                       Make(7, true, 1, 1),
                       Make(2, true, 0, 1),
                       {1},
                       RouteRule::kOwnDomain},
                      {"a lower weight raises the load ratio",
                       Make(2, true, 0, 0.3),
                       Make(4, true, 0, 1),
                       {1},
                       RouteRule::kOwnDomain}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::set<std::size_t> picked;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Random random(seed);
      const PolicyPick pick =
          Pick(ChosenPolicy{}, {row.first, row.second}, random);
      picked.insert(pick.index);
      CHECK(pick.rule == row.rule);
    }
    CHECK(picked == row.picked);
  }
}

TEST_CASE("the baseline policies pick as documented") {
  const std::vector<Candidate> candidates = {
      Make(5, true, 0, 1), Make(1, true, 0, 1), Make(9, true, 0, 1)};
  std::set<std::size_t> random_picks;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Random random(seed);
    random_picks.insert(Pick(RandomPolicy{}, candidates, random).index);
    CHECK(Pick(LeastReportedPolicy{}, candidates, random).index == 1);
    CHECK(Pick(TwoChoicesPolicy{}, candidates, random).index != 2);
    CHECK(Pick(ChosenPolicy{}, {candidates[2]}, random).rule ==
          RouteRule::kOnlyCandidate);
  }
  CHECK(random_picks.size() == 3);
}

TEST_CASE("cache hints end, are bounded and need the prefixes in order") {
  AffinityHints hints(3, Seconds(10));
  const TargetId target("r1");
  const TimePoint now = TimeAt(Seconds(1));
  hints.Add(target, 1, now);
  hints.Add(target, 2, now);
  CHECK(hints.CachedShare(target, {1, 2, 3, 4}, now) == 0.5);
  CHECK(hints.CachedShare(target, {9, 1, 2}, now) == 0.0);
  CHECK(hints.CachedShare(target, {1, 2}, now + Seconds(11)) == 0.0);
  hints.Remove(target, 2);
  CHECK(hints.CachedShare(target, {1, 2}, now) == 0.5);
  for (std::uint64_t prefix = 10; prefix < 20; ++prefix) {
    hints.Add(target, prefix, now);
  }
  CHECK(hints.size() == 3);
  hints.Forget(target);
  CHECK(hints.size() == 0);
}

}  // namespace
}  // namespace bilberryspool::routing
