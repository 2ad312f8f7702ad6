// Views, steps and states of an expert-parallel group.

#ifndef LIBS_GROUPS_GROUP_TYPES_H_
#define LIBS_GROUPS_GROUP_TYPES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "libs/base/ids.h"
#include "libs/placement/expert_map.h"

namespace bilberryspool::groups {

// Identifies a view. The token belongs to one lease of the controller, so two
// controllers never use the same id, and a later controller's ids are higher.
struct ViewId {
  FencingToken token;
  std::uint64_t sequence = 0;  // counted by the controller, from 1

  auto operator<=>(const ViewId&) const = default;
};

// One rank of a view. A restarted rank has another incarnation and is therefore
// not a member, even though its index is the same.
struct Member {
  RankIndex rank;
  Incarnation incarnation;

  auto operator<=>(const Member&) const = default;
};

// A member set and the map that it uses. Views are immutable: another map or
// another member set makes another view.
struct View {
  ViewId id;
  MapVersion map_version;
  std::vector<Member> members;  // in ascending order of rank

  bool operator==(const View&) const = default;
};

// A lock-step step. Numbers start at 1 in each view.
struct StepId {
  ViewId view;
  std::uint64_t number = 0;

  auto operator<=>(const StepId&) const = default;
};

// State of a group as routing sees it.
enum class GroupState {
  kServing,   // steps run under the current view
  kChanging,  // steps run, another view is being prepared
  kStalled,   // no step runs; a new view is being formed
  kOut,       // no step runs and no view can be formed yet
};

// The map as stored in the replicated configuration, so that the next
// controller continues from it.
struct MapRecord {
  MapVersion version;
  placement::ExpertMap chosen;  // requested by an operator or the policy
  // `chosen` adapted to what the live ranks can hold.
  placement::ExpertMap in_force;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_GROUP_TYPES_H_
