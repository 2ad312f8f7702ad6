#include "libs/consensus/election.h"

namespace bilberryspool::consensus {

Election::Election(const ReplicaOptions& options, std::uint64_t seed)
    : timeout_min_(options.election_timeout_min),
      timeout_max_(options.election_timeout_max),
      random_(seed) {}

void Election::ResetTimeout(TimePoint now) {
  deadline_ = now + random_.Between(timeout_min_, timeout_max_);
}

void Election::NoteLeaderContact(TimePoint now) {
  leader_contact_ = now;
  has_leader_contact_ = true;
}

bool Election::HadRecentLeaderContact(TimePoint now) const {
#if defined(BILBERRYSPOOL_MUTATION_IGNORE_LEASE)
  return false && now < leader_contact_;
#else
  return has_leader_contact_ && now < leader_contact_ + timeout_min_;
#endif
}

bool Election::IsWon(const Membership& membership) const {
  return membership.HasQuorum(
      [&](const MemberId& id) { return granted_.count(id) > 0; });
}

}  // namespace bilberryspool::consensus
