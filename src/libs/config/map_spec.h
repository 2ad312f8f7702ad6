#ifndef LIBS_CONFIG_MAP_SPEC_H_
#define LIBS_CONFIG_MAP_SPEC_H_

#include <cstdint>
#include <vector>

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

// The ranks that hold a copy of each expert, ordered by layer, then by expert.
using ExpertHolders = std::vector<std::vector<RankIndex>>;

// The expert map of a group as last recorded by the group's controller; the
// next controller continues from it. It is kept when the group is removed, so
// that the map versions don't decrease if the group is declared again.
struct MapSpec {
  using Key = GroupId;
  static constexpr const char* kKind = "map";

  GroupId group;
  MapVersion version;
  // The lease under which it was recorded.
  FencingToken token;
  std::uint32_t layers = 0;
  std::uint32_t experts = 0;
  // The placement that operators or the policy requested.
  ExpertHolders chosen;
  // `chosen`, adapted to the ranks that are alive.
  ExpertHolders in_force;

  Key key() const { return group; }
  bool operator==(const MapSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(
    MapSpec,
    (),
    (group, version, token, layers, experts, chosen, in_force))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_MAP_SPEC_H_
