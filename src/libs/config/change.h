// The changes that a command consists of.

#ifndef LIBS_CONFIG_CHANGE_H_
#define LIBS_CONFIG_CHANGE_H_

#include <string>
#include <variant>
#include <vector>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/spec_list.h"

namespace bilberryspool::config {

// Creates an object, or replaces the whole object with the same key.
template <typename Spec>
struct Declare {
  Spec spec;

  bool operator==(const Declare&) const = default;
};

// Removes an object, which must exist.
template <typename Spec>
struct Remove {
  typename Spec::Key key;

  bool operator==(const Remove&) const = default;
};

using DeclareService = Declare<ServiceSpec>;
using RemoveService = Remove<ServiceSpec>;
using DeclareWorkspace = Declare<WorkspaceSpec>;
using RemoveWorkspace = Remove<WorkspaceSpec>;
using DeclarePriority = Declare<PrioritySpec>;
using RemovePriority = Remove<PrioritySpec>;
using DeclareGroup = Declare<GroupSpec>;
using RemoveGroup = Remove<GroupSpec>;
using DeclareTarget = Declare<TargetSpec>;
using RemoveTarget = Remove<TargetSpec>;
using Allow = Declare<PlacementSpec>;
using Deny = Remove<PlacementSpec>;
using Drain = Declare<DrainSpec>;
using Undrain = Remove<DrainSpec>;
using Pin = Declare<PinSpec>;
using Unpin = Remove<PinSpec>;
using Forbid = Declare<ForbidSpec>;
using Permit = Remove<ForbidSpec>;
using Move = Declare<MoveSpec>;
using CancelMove = Remove<MoveSpec>;
using SetSetting = Declare<SettingSpec>;
using UnsetSetting = Remove<SettingSpec>;

// Requests the replacement of a control replica. The successor starts as a
// learner. Refused while another replacement is in progress, because two at
// once would weaken the quorum.
struct ReplaceControlMember {
  NodeId outgoing;
  NodeId incoming;
  std::string address;
  FailureDomain domain;

  bool operator==(const ReplaceControlMember&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplaceControlMember,
                      (),
                      (outgoing, incoming, address, domain))

// Cancels a replacement, for example when the successor is lost before it
// votes: the learner is removed and the member stays.
struct CancelReplacement {
  NodeId outgoing;

  bool operator==(const CancelReplacement&) const = default;
};
BOOST_DESCRIBE_STRUCT(CancelReplacement, (), (outgoing))

// Records the current membership of the replicated log. Issued by the system
// itself. It expects (with kObjects) the version at which the membership was
// observed, so that a late observation doesn't undo an operator's replacement.
struct ObserveControlMembers {
  std::vector<ControlMemberSpec> members;

  bool operator==(const ObserveControlMembers&) const = default;
};
BOOST_DESCRIBE_STRUCT(ObserveControlMembers, (), (members))

// Makes a node the group's controller under a new fencing token. `previous` is
// the group's token as known to the node (0: none yet), so that only one of two
// nodes that request the lease at the same time gets it. Issued by the system
// itself.
struct GrantLease {
  GroupId group;
  NodeId holder;
  Incarnation incarnation;
  FencingToken previous;

  bool operator==(const GrantLease&) const = default;
};
BOOST_DESCRIBE_STRUCT(GrantLease, (), (group, holder, incarnation, previous))

// Releases a lease early; refused unless `token` is the group's current token.
struct ReleaseLease {
  GroupId group;
  FencingToken token;

  bool operator==(const ReleaseLease&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReleaseLease, (), (group, token))

// Records a group's expert map before its ranks prepare it. Refused unless
// `map.token` is the token of the group's current lease and the version is
// higher than the recorded one, so that versions never decrease. Issued by the
// system itself.
struct RecordMap {
  MapSpec map;

  bool operator==(const RecordMap&) const = default;
};
BOOST_DESCRIBE_STRUCT(RecordMap, (), (map))

using Change = std::variant<DeclareService,
                            RemoveService,
                            DeclareWorkspace,
                            RemoveWorkspace,
                            DeclarePriority,
                            RemovePriority,
                            DeclareGroup,
                            RemoveGroup,
                            DeclareTarget,
                            RemoveTarget,
                            Allow,
                            Deny,
                            Drain,
                            Undrain,
                            Pin,
                            Unpin,
                            Forbid,
                            Permit,
                            Move,
                            CancelMove,
                            SetSetting,
                            UnsetSetting,
                            ReplaceControlMember,
                            CancelReplacement,
                            ObserveControlMembers,
                            GrantLease,
                            ReleaseLease,
                            RecordMap>;

// True for changes that the system itself issues. They raise the version, but
// don't conflict with the commands of operators that expect the whole
// configuration to be unchanged (CompareScope::kConfiguration).
bool IsSystemChange(const Change& change);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_CHANGE_H_
