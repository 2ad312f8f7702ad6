// Identity of a replica. The node name comes from the settings and outlives the
// disk; the replica identity is generated when the data folder is created. A
// replica that lost its folder therefore returns as a different member, and the
// votes and acknowledgements of the lost folder are never attributed to it.

#ifndef LIBS_CONSENSUS_MEMBER_ID_H_
#define LIBS_CONSENSUS_MEMBER_ID_H_

#include <ostream>
#include <tuple>

#include "libs/base/ids.h"

namespace bilberryspool::consensus {

// Random number generated when a data folder is created; 0 means unknown.
using ReplicaIdentity = StrongNumber<struct ReplicaIdentityTag>;
// Random number generated when a replicated log is bootstrapped; 0 before that.
using ClusterId = StrongNumber<struct ClusterIdTag>;
// Number of times that a configuration was forced after the loss of a majority.
using RecoveryEpoch = StrongNumber<struct RecoveryEpochTag>;

// One replica with one particular data folder.
struct MemberId {
  NodeId node;
  ReplicaIdentity identity;

  bool operator==(const MemberId&) const = default;
  friend bool operator<(const MemberId& left, const MemberId& right) {
    return std::tie(left.node, left.identity) <
           std::tie(right.node, right.identity);
  }

  friend std::ostream& operator<<(std::ostream& out, const MemberId& id) {
    return out << id.node << '/' << id.identity;
  }
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_MEMBER_ID_H_
