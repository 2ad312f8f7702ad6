#include "plugins/control/group_maps.h"

#include <doctest/doctest.h>

namespace bilberryspool::control {
namespace {

using placement::ExpertKey;
using placement::ExpertMap;
using placement::LayerIndex;

config::GroupSpec Group(std::uint32_t ranks, std::uint32_t experts) {
  config::GroupSpec group;
  group.id = GroupId("g");
  group.ranks = ranks;
  group.layers = 2;
  group.experts = experts;
  return group;
}

ExpertKey Expert(std::uint32_t expert) {
  return {LayerIndex(1), ExpertIndex(expert)};
}

TEST_CASE("the first map has two copies of each expert where ranks allow") {
  struct Row {
    std::uint32_t ranks;
    std::uint32_t experts;
    std::size_t copies;
    std::uint32_t slots;
  };
  const Row rows[] = {{4, 8, 2, 5}, {3, 7, 2, 7}, {1, 4, 1, 4}, {8, 4, 4, 3}};
  for (const Row& row : rows) {
    const config::GroupSpec group = Group(row.ranks, row.experts);
    const groups::MapRecord record = InitialRecord(group, nullptr);
    CHECK(record.version == MapVersion(0));
    CHECK(record.in_force == ExpertMap());
    CHECK(SlotsOf(group) == row.slots);
    for (std::uint32_t i = 0; i < row.experts; ++i) {
      CHECK(record.chosen.holders(Expert(i)).size() >= row.copies);
    }
  }
}

TEST_CASE("a recorded map is restored unless the model has changed") {
  const config::GroupSpec group = Group(4, 8);
  groups::MapRecord record = InitialRecord(group, nullptr);
  record.version = MapVersion(7);
  record.in_force = record.chosen;
  record.in_force.Remove(Expert(3), record.chosen.holders(Expert(3)).front());
  const config::MapSpec spec = ToMapSpec(group.id, FencingToken(2), record);
  const groups::MapRecord again = InitialRecord(group, &spec);
  CHECK(again.version == record.version);
  CHECK(again.chosen == record.chosen);
  CHECK(again.in_force == record.in_force);
  const groups::MapRecord other = InitialRecord(Group(4, 9), &spec);
  CHECK(other.version == record.version);
  CHECK(other.chosen.experts() == 9);
}

// Guards against an expert that moves again and again, or a map that changes
// without a new order. Each tick and each new controller applies the declared
// orders again, so applying an order to its own result must change nothing.
TEST_CASE("operators' orders are idempotent") {
  config::Configuration configuration;
  const auto put = [&](const auto& spec) {
    using Spec = std::decay_t<decltype(spec)>;
    configuration.Apply(config::Update<Spec>{
        spec.key(), config::Entry<Spec>{spec, ConfigVersion(1), {}}});
  };
  const auto key = [](const char* group, std::uint32_t expert) {
    return config::ExpertKey{GroupId(group), 1, ExpertIndex(expert)};
  };
  ExpertMap map(2, 4);
  for (std::uint32_t i = 0; i < 4; ++i) {
    map.Add(Expert(i), RankIndex(i));
  }
  put(config::MoveSpec{key("g", 0), RankIndex(0), RankIndex(2)});
  put(config::MoveSpec{key("other", 1), RankIndex(1), RankIndex(2)});
  put(config::MoveSpec{key("g", 9), RankIndex(1), RankIndex(2)});
  put(config::PinSpec{key("g", 2), RankIndex(3)});
  put(config::ForbidSpec{key("g", 2), RankIndex(2)});
  const ExpertMap once = WithOperatorOrders(map, GroupId("g"), configuration);
  CHECK(once.holders(Expert(0)) == std::vector{RankIndex(2)});
  CHECK(once.holders(Expert(1)) == std::vector{RankIndex(1)});
  CHECK(once.holders(Expert(2)) == std::vector{RankIndex(3)});
  CHECK(WithOperatorOrders(once, GroupId("g"), configuration) == once);
}

}  // namespace
}  // namespace bilberryspool::control
