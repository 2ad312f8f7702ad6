// Keeps the voters of the replicated log whole without an operator.
//
// Where VMs come and go by themselves, nobody types a replacement: a VM whose
// disk was lost comes back with a new folder, and one that is gone for good is
// followed by another at a new address. Until the new folder has the vote, the
// log has one copy less than it should, and the next lost disk could take
// accepted configuration with it. Noticed by a member that asks for admission
// without getting it. So the leader gives each such member the vote of the
// folder that it stands for, by a joint change, which never needs more live
// folders than before.
//
// Pure: a picture of the log and `now` in, one change out.

#ifndef LIBS_CONSENSUS_MEMBER_MANAGER_H_
#define LIBS_CONSENSUS_MEMBER_MANAGER_H_

#include <cstddef>
#include <map>
#include <optional>

#include "libs/base/time.h"
#include "libs/consensus/membership.h"

namespace bilberryspool::consensus {

class Replica;

struct MemberManagerOptions {
  // Voters wanted; with 2 f + 1 of them f folders may be lost.
  std::size_t voters = 3;
  // A voter that has not answered for this long may be replaced by another
  // node that asks for admission.
  Duration voter_timeout = Seconds(2);
  // A learner that has not answered for this long is dropped, so that the
  // change it is part of does not block all others.
  Duration learner_timeout = Seconds(6);
};

// What the leader knows.
struct MembershipStatus {
  MemberId self;
  Membership membership;
  // Folders that ask for admission, by node.
  std::map<NodeId, MemberId> awaiting;
  // When each other member last answered this leader; a member that never did
  // is missing.
  std::map<MemberId, TimePoint> last_responses;
};

// The picture of a replica that leads; nothing where it does not.
std::optional<MembershipStatus> MembershipStatusOf(const Replica& replica);

// Belongs to one leadership: a new leader starts with a new one.
class MemberManager {
 public:
  explicit MemberManager(MemberManagerOptions options) : options_(options) {}

  // The next change to ask for; nothing where none is due.
  std::optional<MembershipChange> Next(const MembershipStatus& status,
                                       TimePoint now);

 private:
  void TrackMembers(const MembershipStatus& status, TimePoint now);
  Duration TimeSinceResponse(const MembershipStatus& status,
                             const MemberId& id,
                             TimePoint now) const;
  std::optional<MembershipChange> NextLearnerChange(
      const MembershipStatus& status,
      TimePoint now) const;
  const MemberId* UnresponsiveVoter(const MembershipStatus& status,
                                    TimePoint now) const;

  MemberManagerOptions options_;
  // When each member was first seen in the membership. A learner that has just
  // been added has not answered anything yet; counted from the start of the
  // leadership it would look dead and be removed before its first answer, and
  // its vote would never be replaced.
  std::map<MemberId, TimePoint> first_seen_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_MEMBER_MANAGER_H_
