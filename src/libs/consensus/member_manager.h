// Restores the full number of voters of the replicated log without an operator.
//
// In automatically managed deployments no operator enters replacements: a VM
// whose disk was lost returns with a new data folder, and a VM that is gone for
// good is followed by another one at a new address. Until the new folder has a
// vote, the log has one copy fewer than configured, and the loss of another
// disk could lose accepted configuration. The visible symptom is a member that
// asks for admission and is not admitted. The leader therefore gives each such
// member the vote of the folder that it replaces, by a joint membership change,
// which never needs more live folders than before.
//
// Performs no I/O: takes the membership status and `now`, returns one change.

#ifndef LIBS_CONSENSUS_MEMBER_MANAGER_H_
#define LIBS_CONSENSUS_MEMBER_MANAGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "libs/base/time.h"
#include "libs/consensus/membership.h"

namespace bilberryspool::consensus {

class Replica;

struct MemberManagerOptions {
  // Intended number of voters; 2 f + 1 voters tolerate the loss of f folders.
  std::size_t voters = 3;
  // A voter that has not responded within this time may be replaced by another
  // node that asks for admission; a learner is removed if another one asks.
  Duration voter_timeout = Seconds(2);
  // A learner that has not responded within this time, or that has not caught
  // up within it while another node asks, is removed, so that the change it is
  // part of does not block all others.
  Duration learner_timeout = Seconds(6);
};

// The leader's view of the members.
struct MembershipStatus {
  MemberId self;
  Membership membership;
  // Data folders that ask for admission at present, by node.
  std::map<NodeId, MemberId> awaiting;
  // Time of each other member's last response to this leader; members that
  // never responded have no entry.
  std::map<MemberId, TimePoint> last_responses;
};

// The status as seen by `replica`, or nullopt if it is not the leader.
std::optional<MembershipStatus> MembershipStatusOf(const Replica& replica,
                                                   TimePoint now);

// Chooses the membership changes during one leadership term; a new leader uses
// a new instance.
class MemberManager {
 public:
  explicit MemberManager(MemberManagerOptions options) : options_(options) {}

  // The next change to propose, or nullopt if none is due.
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
  bool MustRemoveLearner(const MembershipStatus& status,
                         const Learner& learner,
                         TimePoint now) const;
  std::optional<MembershipChange> NextAdmission(const MembershipStatus& status,
                                                TimePoint now);
  std::vector<MemberId> CandidatesInOrder(const MembershipStatus& status) const;
  std::optional<MembershipChange> AdmissionOf(const MemberId& candidate,
                                              const MembershipStatus& status,
                                              TimePoint now) const;
  const MemberId* UnresponsiveVoter(const MembershipStatus& status,
                                    TimePoint now) const;

  MemberManagerOptions options_;
  // Time at which each member was first seen in the membership. A learner that
  // was just added has not responded yet. If its silence counted from the start
  // of the leadership term, it would look dead and be removed before its first
  // response, and the vote it should take over would never be replaced.
  std::map<MemberId, TimePoint> first_seen_;
  // When each folder was last proposed for admission. One that asks but can't
  // be reached would otherwise be tried again and again before all others.
  std::map<MemberId, TimePoint> tried_at_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_MEMBER_MANAGER_H_
