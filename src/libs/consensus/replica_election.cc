// Replica: elections.

#include <utility>

#include "libs/base/check.h"
#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {

void Replica::StartPreVote(TimePoint now) {
  role_ = Role::kPreCandidate;
  leader_.reset();
  election_.ResetTimeout(now);
  election_.ClearVotes();
  election_.NoteGranted(self_);
  for (const MemberId& id : log_.membership().AllMembers()) {
    if (id == self_ || !log_.membership().IsVoter(id)) {
      continue;
    }
    Queue(id, PreVote{log_.last_index(), log_.last_term()},
          SendAfter::kHardState);
  }
  NoteElectionProgress(now);
}

void Replica::StartVote(bool forced, TimePoint now) {
  hard_state_.term = hard_state_.term.Next();
  hard_state_.vote = self_;
  hard_state_changed_ = true;
  role_ = Role::kCandidate;
  leader_.reset();
  election_.ResetTimeout(now);
  // The replica's own vote counts once it is synced to disk.
  election_.ClearVotes();
  for (const MemberId& id : log_.membership().AllMembers()) {
    if (id == self_ || !log_.membership().IsVoter(id)) {
      continue;
    }
    Queue(id, Vote{log_.last_index(), log_.last_term(), forced},
          SendAfter::kHardState);
  }
}

void Replica::NoteElectionProgress(TimePoint now) {
  if (!election_.IsWon(log_.membership())) {
    return;
  }
  if (role_ == Role::kPreCandidate) {
    StartVote(false, now);
  } else if (role_ == Role::kCandidate) {
    BecomeLeader(now);
  }
}

void Replica::BecomeLeader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = self_;
  leader_state_.emplace(self_, options_, log_, now);
  term_start_index_ = AppendAsLeader(NoOp{});
}

void Replica::BecomeFollower(Term term, TimePoint now) {
  BILBERRYSPOOL_INVARIANT(term >= hard_state_.term, "the term never decreases");
  if (leader_state_) {
    for (const PendingProposal& lost : leader_state_->TakeAllPending()) {
      actions_.push_back(ProposalOutcome{lost.ticket, OutcomeUnknown{}});
    }
    for (const RequestTicket ticket : leader_state_->TakeReads()) {
      actions_.push_back(ReadOutcome{ticket, NotLeader{std::nullopt}});
    }
    leader_state_.reset();
    leader_.reset();
  }
  if (role_ != Role::kFollower) {
    election_.ResetTimeout(now);
  }
  role_ = Role::kFollower;
  if (term == hard_state_.term) {
    return;
  }
  hard_state_.term = term;
  hard_state_.vote.reset();
  hard_state_changed_ = true;
  leader_.reset();
}

bool Replica::MustHonorLease(TimePoint now) const {
  if (leader_state_) {
    return leader_state_->HasLease(log_.membership(), now);
  }
  return election_.HadRecentLeaderContact(now);
}

bool Replica::IsUpToDate(LogIndex last_index, Term last_term) const {
  if (last_term != log_.last_term()) {
    return last_term > log_.last_term();
  }
  return last_index >= log_.last_index();
}

void Replica::OnBody(const Message& message,
                     const PreVote& body,
                     TimePoint now) {
  const Term proposed = message.term.Next();
  const bool granted = proposed > hard_state_.term && !MustHonorLease(now) &&
                       IsUpToDate(body.last_index, body.last_term);
  Queue(message.from, PreVoteReply{proposed, granted}, SendAfter::kHardState);
}

void Replica::OnBody(const Message& message,
                     const PreVoteReply& body,
                     TimePoint now) {
  if (role_ != Role::kPreCandidate || !body.granted ||
      body.for_term != hard_state_.term.Next()) {
    return;
  }
  election_.NoteGranted(message.from);
  NoteElectionProgress(now);
}

void Replica::OnBody(const Message& message, const Vote& body, TimePoint now) {
#if defined(BILBERRYSPOOL_MUTATION_VOTE_TWICE)
  const bool is_free = true;
#else
  const bool is_free = !hard_state_.vote || *hard_state_.vote == message.from;
#endif
  const bool granted =
      is_free && !leader_ && IsUpToDate(body.last_index, body.last_term);
  if (granted) {
    hard_state_.vote = message.from;
    hard_state_changed_ = true;
    election_.ResetTimeout(now);
  }
  Queue(message.from, VoteReply{granted}, SendAfter::kHardState);
}

void Replica::OnBody(const Message& message,
                     const VoteReply& body,
                     TimePoint now) {
  if (role_ != Role::kCandidate || !body.granted) {
    return;
  }
  election_.NoteGranted(message.from);
  NoteElectionProgress(now);
}

void Replica::OnBody(const Message& /*message*/,
                     const TimeoutNow& /*body*/,
                     TimePoint now) {
  if (role_ == Role::kFollower && log_.membership().IsVoter(self_)) {
    StartVote(true, now);
  }
}

}  // namespace bilberryspool::consensus
