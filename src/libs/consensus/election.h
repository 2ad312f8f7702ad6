#ifndef LIBS_CONSENSUS_ELECTION_H_
#define LIBS_CONSENSUS_ELECTION_H_

#include <set>

#include "libs/base/random.h"
#include "libs/consensus/membership.h"
#include "libs/consensus/replica_options.h"

namespace bilberryspool::consensus {

// Election timer, time of the last leader contact and votes received.
class Election {
 public:
  Election(const ReplicaOptions& options, std::uint64_t seed);

  // Draws a new election timeout from `now` on.
  void ResetTimeout(TimePoint now);
  // Records contact with a leader of the current term. Also called at a
  // restart: just before it, the replica may have acknowledged a leader whose
  // lease depends on this replica granting no vote.
  void NoteLeaderContact(TimePoint now);
  // Whether a leader may hold a lease that depends on this replica's
  // acknowledgement.
  bool HadRecentLeaderContact(TimePoint now) const;
  // When the last leader contact is too long ago for a leader that serves this
  // replica.
  TimePoint leader_lost_at() const { return leader_contact_ + timeout_max_; }
  bool IsDue(TimePoint now) const { return now >= deadline_; }
  TimePoint deadline() const { return deadline_; }

  void ClearVotes() { granted_.clear(); }
  void NoteGranted(const MemberId& voter) { granted_.insert(voter); }
  bool IsWon(const Membership& membership) const;

 private:
  Duration timeout_min_;
  Duration timeout_max_;
  Random random_;
  TimePoint deadline_;
  TimePoint leader_contact_;
  bool has_leader_contact_ = false;
  std::set<MemberId> granted_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_ELECTION_H_
