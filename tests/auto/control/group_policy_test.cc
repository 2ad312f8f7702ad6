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

// One of these experts gets most of the work.
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

TEST_CASE("the policy decides once it has counts and the group is whole") {
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
  // Two plans keep their distance.
  CHECK_FALSE(policy.Decide(settled, configuration, now).has_value());
}

// Symptom: an expert comes back to the rank that an operator moved it from.
// Events: the policy finds that rank to be the best place. Cause: a standing
// move counts as done and forgotten.
TEST_CASE("the policy keeps to what operators demand") {
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

TEST_CASE("quiet windows may pass midnight") {
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
