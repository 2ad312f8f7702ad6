#include "plugins/control/group_maps.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::control {

using placement::ExpertKey;
using placement::ExpertMap;
using placement::LayerIndex;

namespace {

constexpr std::uint32_t kCopiesPerExpert = 2;

std::uint32_t EvenShare(const config::GroupSpec& group) {
  return (group.experts + group.ranks - 1) / group.ranks;
}

ExpertKey KeyAt(std::uint32_t layer, std::uint32_t expert) {
  return {LayerIndex(layer), ExpertIndex(expert)};
}

config::ExpertHolders HoldersOf(const ExpertMap& map) {
  config::ExpertHolders holders;
  for (std::uint32_t layer = 0; layer < map.layers(); ++layer) {
    for (std::uint32_t expert = 0; expert < map.experts(); ++expert) {
      holders.push_back(map.holders(KeyAt(layer, expert)));
    }
  }
  return holders;
}

// The configuration has validated that `holders` has an item for each expert of
// each layer.
ExpertMap MapOf(const config::MapSpec& spec,
                const config::ExpertHolders& holders) {
  ExpertMap map(spec.layers, spec.experts);
  for (std::uint32_t layer = 0; layer < spec.layers; ++layer) {
    for (std::uint32_t expert = 0; expert < spec.experts; ++expert) {
      for (const RankIndex rank : holders[layer * spec.experts + expert]) {
        map.Add(KeyAt(layer, expert), rank);
      }
    }
  }
  return map;
}

bool IsInMap(const ExpertMap& map,
             const GroupId& group,
             const config::ExpertKey& key) {
  return key.group == group && key.layer < map.layers() &&
         key.expert.value() < map.experts();
}

}  // namespace

std::uint32_t SlotsOf(const config::GroupSpec& group) {
  return std::min(group.experts, kCopiesPerExpert * EvenShare(group) + 1);
}

groups::MapRecord InitialRecord(const config::GroupSpec& group,
                                const config::MapSpec* recorded) {
  groups::MapRecord record;
  if (recorded != nullptr) {
    record.version = recorded->version;
    record.in_force = MapOf(*recorded, recorded->in_force);
  }
  const bool matches_model = recorded != nullptr &&
                             recorded->layers == group.layers &&
                             recorded->experts == group.experts;
  const std::uint32_t slots =
      std::min(group.experts, kCopiesPerExpert * EvenShare(group));
  record.chosen = matches_model
                      ? MapOf(*recorded, recorded->chosen)
                      : ExpertMap::RoundRobin(group.layers, group.experts,
                                              group.ranks, slots);
  return record;
}

config::MapSpec ToMapSpec(const GroupId& group,
                          FencingToken token,
                          const groups::MapRecord& record) {
  return {group,
          record.version,
          token,
          record.chosen.layers(),
          record.chosen.experts(),
          HoldersOf(record.chosen),
          HoldersOf(record.in_force)};
}

ExpertMap WithOperatorOrders(ExpertMap chosen,
                             const GroupId& group,
                             const config::Configuration& configuration) {
  for (const auto& [key, row] : configuration.table<config::MoveSpec>()) {
    const ExpertKey expert = KeyAt(key.layer, key.expert.value());
    const bool is_due =
        IsInMap(chosen, group, key) && chosen.Holds(row.spec.from, expert);
    if (is_due) {
      chosen.Remove(expert, row.spec.from);
      chosen.Add(expert, row.spec.to);
    }
  }
  for (const auto& [key, row] : configuration.table<config::PinSpec>()) {
    if (IsInMap(chosen, group, key)) {
      chosen.Add(KeyAt(key.layer, key.expert.value()), row.spec.rank);
    }
  }
  for (const auto& [key, row] : configuration.table<config::ForbidSpec>()) {
    if (IsInMap(chosen, group, key.expert)) {
      chosen.Remove(KeyAt(key.expert.layer, key.expert.expert.value()),
                    key.rank);
    }
  }
  return chosen;
}

}  // namespace bilberryspool::control
