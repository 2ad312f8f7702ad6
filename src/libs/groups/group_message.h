// The messages between the group controller and the ranks, and among ranks.
//
// All are level-triggered: a sender repeats its latest message until a status
// shows that it took effect, so lost, late and duplicated messages are
// harmless.

#ifndef LIBS_GROUPS_GROUP_MESSAGE_H_
#define LIBS_GROUPS_GROUP_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "libs/groups/group_types.h"

namespace bilberryspool::groups {

// Fields common to all orders of a controller. An order is valid only for the
// incarnation that it names, so an order that was sent to a rank before its
// restart has no effect on the restarted rank.
struct OrderHeader {
  GroupId group;
  RankIndex rank;
  Incarnation incarnation;
  FencingToken token;
};

// Takes over the rank: from now on it refuses lower tokens.
struct ClaimOrder {
  OrderHeader header;
};

// Prepares a view while the current one stays in use.
struct PrepareOrder {
  OrderHeader header;
  View view;
  std::shared_ptr<const placement::ExpertMap> map;  // never null
};

// Permission for one fetch of one expert from the weight store.
struct FetchOrder {
  OrderHeader header;
  std::uint64_t grant = 0;  // increases within a controller lease
  placement::ExpertKey key;
};

// Stops the rank from promising steps of earlier views. Accepted only by a rank
// that is prepared. A step that is already promised may still start.
struct SealOrder {
  OrderHeader header;
  ViewId view;
};

// All members are sealed: steps of this view may start.
struct InstallOrder {
  OrderHeader header;
  ViewId view;
  // The last step of the previous view that all its members promised. A member
  // that promised it runs it first, because its peers may already be running
  // it. Empty if a member of the previous view is lost; running steps are then
  // aborted.
  std::optional<StepId> finish;
};

using Order =
    std::variant<ClaimOrder, PrepareOrder, FetchOrder, SealOrder, InstallOrder>;

// Everything that a controller knows about a rank. Sent after each order and
// periodically. `sequence` orders the statuses of one incarnation.
struct RankStatus {
  GroupId group;
  RankIndex rank;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  FencingToken token;               // highest accepted; 0 for none
  std::optional<ViewId> prepared;   // all weights of this view are resident
  std::optional<ViewId> sealed;     // no step below this view is promised
  std::optional<ViewId> installed;  // steps of this view may be promised
  std::optional<StepId> promised;   // the latest promise, fulfilled or not
  std::uint64_t last_grant = 0;     // highest fetch grant seen
  bool fetching = false;
  bool usable = false;  // the engine has been reset and is not stuck
  // A step was aborted; only a new view lets the rank continue.
  bool needs_view = false;
  GroupState state = GroupState::kOut;
  StepId last_step;
  // Set by a stalled step leader: the members that have not reported ready.
  std::vector<RankIndex> awaited;
  // Empty once the view in preparation is prepared.
  std::vector<placement::ExpertKey> resident;
};

// Sent to the step leader: the member will run the step once all members are
// ready.
struct StepReady {
  GroupId group;
  Member from;
  Member leader;
  StepId step;
  MapVersion map_version;
};

// Sent by the step leader: all members are ready.
struct StepGo {
  GroupId group;
  Member to;
  StepId step;
  MapVersion map_version;
  std::uint32_t ready_members = 0;
};

using RankMessage = std::variant<StepReady, StepGo>;

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_GROUP_MESSAGE_H_
