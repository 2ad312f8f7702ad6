#include "plugins/control/group_policy.h"

#include <doctest/doctest.h>

#include "plugins/control/group_maps.h"

namespace bilberryspool::control {
namespace {

config::GroupSpec Group() {
  config::GroupSpec group;
  group.id = GroupId("g");
  group.ranks = 4;
  group.experts = 8;
  return group;
}

// Counts of one rank in which the first expert gets most of the tokens.
groups::ExpertCounts Counts(std::uint64_t number) {
  groups::ExpertCounts counts;
  counts.group = GroupId("g");
  counts.incarnation = Incarnation(1);
  counts.number = number;
  counts.window = Seconds(1);
  counts.layers = 1;
  counts.experts = 8;
  counts.tokens = {9000, 100, 100, 100, 100, 100, 100, 100};
  return counts;
}

PlacementSituation Settled() {
  PlacementSituation situation;
  situation.chosen = InitialRecord(Group(), nullptr).chosen;
  situation.is_settled = true;
  situation.seconds_per_fetch = 0.05;
  return situation;
}

TEST_CASE("the policy decides when it has enough counts and all ranks") {
  const config::Configuration configuration;
  GroupPolicy policy(Group());
  const PlacementSituation settled = Settled();
  PlacementSituation changing = settled;
  changing.is_settled = false;
  TimePoint now = TimeAt(Seconds(100));
  for (std::uint64_t second = 1; second <= 11; ++second) {
    CHECK_FALSE(policy.Decide(settled, configuration, now).has_value());
    now += Seconds(1);
    policy.Observe(Counts(second), now);
  }
  groups::ExpertCounts misshapen = Counts(99);
  misshapen.experts = 7;
  policy.Observe(misshapen, now);
  CHECK_FALSE(policy.Decide(changing, configuration, now).has_value());
  const auto map = policy.Decide(settled, configuration, now);
  REQUIRE(map.has_value());
  CAPTURE(policy.why());
  const placement::ExpertKey hot{placement::LayerIndex(0), ExpertIndex(0)};
  CHECK(map->holders(hot).size() > settled.chosen.holders(hot).size());
  // The second plan is made only after a pause.
  CHECK_FALSE(policy.Decide(settled, configuration, now).has_value());
}

// Guards against an expert that returns to the rank from which an operator
// moved it: the policy finds that rank best, and a declared move counts as
// done, so it no longer restricts the policy.
TEST_CASE("the policy respects operators' moves") {
  config::Configuration configuration;
  const config::ExpertKey hot{GroupId("g"), 0, ExpertIndex(0)};
  const config::MoveSpec move{hot, RankIndex(0), RankIndex(3)};
  configuration.Apply(config::Update<config::MoveSpec>{
      hot, config::Entry<config::MoveSpec>{move, ConfigVersion(1), {}}});
  GroupPolicy policy(Group());
  PlacementSituation situation = Settled();
  situation.chosen =
      WithOperatorOrders(situation.chosen, GroupId("g"), configuration);
  TimePoint now = TimeAt(Seconds(100));
  for (std::uint64_t second = 1; second <= 11; ++second) {
    now += Seconds(1);
    policy.Observe(Counts(second), now);
  }
  const auto map = policy.Decide(situation, configuration, now);
  REQUIRE(map.has_value());
  const placement::ExpertKey key{placement::LayerIndex(0), ExpertIndex(0)};
  CHECK_FALSE(map->Holds(RankIndex(0), key));
  CHECK(map->Holds(RankIndex(3), key));
}

TEST_CASE("quiet windows may span midnight") {
  struct Row {
    config::QuietWindow window;
    std::uint32_t minute;
    bool is_quiet;
  };
  const Row rows[] = {{{60, 120}, 59, false},  {{60, 120}, 60, true},
                      {{60, 120}, 120, false}, {{1380, 60}, 1400, true},
                      {{1380, 60}, 30, true},  {{1380, 60}, 60, false},
                      {{1380, 60}, 700, false}};
  for (const Row& row : rows) {
    CAPTURE(row.minute);
    CHECK(IsQuiet({row.window}, row.minute) == row.is_quiet);
  }
}

}  // namespace
}  // namespace bilberryspool::control
