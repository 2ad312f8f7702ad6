// Replica: leader.

#include <algorithm>
#include <utility>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"
#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {
namespace {

SentAt ToSentAt(TimePoint now) {
  return now.time_since_epoch().count();
}

// Converts a time echoed by a follower. Limited to `now`, because a
// time in the future would extend the lease.
TimePoint FromSentAt(SentAt sent_at, TimePoint now) {
  return std::min(TimePoint(Duration(sent_at)), now);
}

}  // namespace

void Replica::TickLeader(TimePoint now) {
  const TimePoint contact =
      std::max(leader_state_->QuorumContact(log_.membership(), now),
               leader_state_->started_at());
  if (now >= contact + options_.election_timeout_max) {
    BecomeFollower(hard_state_.term, now);
    return;
  }
  const std::optional<TimePoint>& deadline = leader_state_->transfer_deadline();
  if (deadline && now >= *deadline) {
    leader_state_->EndTransfer();
  }
}

LogIndex Replica::AppendAsLeader(EntryPayload payload) {
  const bool is_membership = std::holds_alternative<Membership>(payload);
  LogEntry entry{log_.last_index().Next(), hard_state_.term,
                 std::move(payload)};
  const LogIndex index = entry.index;
  new_entries_.push_back(entry);
  log_.Append(std::move(entry));
  if (is_membership) {
    leader_state_->SyncMembers(log_);
  }
  return index;
}

void Replica::AdvanceCommit() {
  const LogIndex reached = leader_state_->QuorumMatch(log_);
  if (reached <= commit_) {
    return;
  }
#if !defined(BILBERRYSPOOL_MUTATION_COMMIT_OLD_TERM)
  // An entry of an earlier term may still be replaced even if a quorum has it;
  // it is only committed together with an entry of this term.
  if (log_.TermAt(reached) != hard_state_.term) {
    return;
  }
#endif
  commit_ = reached;
}

bool Replica::CanChangeMembership() const {
  return commit_ >= term_start_index_ && log_.membership_index() <= commit_;
}

void Replica::AdvanceMembership(TimePoint now) {
  if (!CanChangeMembership()) {
    return;
  }
  const Membership& current = log_.membership();
  if (current.is_joint()) {
    AppendAsLeader(LeaveJoint(current));
    return;
  }
  if (!current.IsVoter(self_) && !leader_state_->transfer_deadline()) {
    // This leader was removed: hand leadership to one of the remaining voters.
    leader_state_->BeginTransfer(now);
    return;
  }
  for (const Learner& learner : current.learners) {
    if (!learner.replaces ||
        !leader_state_->HasCaughtUp(learner.id, log_.last_index(), now)) {
      continue;
    }
    const Membership joint = JointForReplacement(current, learner);
    if (leader_state_->HasHealthyQuorum(joint, now)) {
      AppendAsLeader(joint);
    }
    return;
  }
}

std::optional<RefusalReason> Replica::CheckChange(
    const MembershipChange& change,
    const Membership& next,
    TimePoint now) const {
  if (commit_ < term_start_index_) {
    return RefusalReason::kLeaderNotReady;
  }
  if (!CanChangeMembership()) {
    return RefusalReason::kChangeInProgress;
  }
  if (const auto* promote = std::get_if<PromoteLearner>(&change)) {
    if (!leader_state_->HasCaughtUp(promote->learner, log_.last_index(), now)) {
      return RefusalReason::kNotCaughtUp;
    }
  }
  if (next.is_joint() && !leader_state_->HasHealthyQuorum(next, now)) {
    return RefusalReason::kWouldLoseQuorum;
  }
  return std::nullopt;
}

void Replica::AdvanceTransfer(TimePoint now) {
  if (!leader_state_->transfer_deadline() || commit_ < log_.last_index()) {
    return;
  }
  for (const auto& [id, progress] : leader_state_->progress()) {
    if (!log_.membership().IsVoter(id) ||
        progress.match() != log_.last_index() ||
        now >= progress.acked_sent_at() + options_.election_timeout_min) {
      continue;
    }
    TransferLeadershipTo(MemberId(id), now);
    return;
  }
}

void Replica::TransferLeadershipTo(const MemberId& successor, TimePoint now) {
  Queue(successor, TimeoutNow{}, SendAfter::kHardState);
  // Gives up the lease permanently: the successor's election does not wait for
  // it, however late the message arrives.
  BecomeFollower(hard_state_.term, now);
}

void Replica::AnswerReads(TimePoint now) {
  if (!is_leader_with_lease(now)) {
    return;
  }
  for (const RequestTicket ticket : leader_state_->TakeReads()) {
    actions_.push_back(ReadOutcome{ticket, ReadAt{commit_}});
  }
}

void Replica::SendToFollowers(TimePoint now) {
  const bool is_heartbeat_due = leader_state_->IsHeartbeatDue(now);
  if (is_heartbeat_due) {
    leader_state_->NoteHeartbeat(now);
  }
  for (auto& [id, progress] : leader_state_->progress()) {
    SendEntries(id, progress, now);
    SendSnapshotPart(id, progress, now);
    if (progress.TakeProbeDue() || is_heartbeat_due) {
      SendHeartbeat(id, progress, now);
    }
  }
}

void Replica::SendEntries(const MemberId& to,
                          Progress& progress,
                          TimePoint now) {
  const bool is_compacted = progress.next() < log_.first_index();
  if (is_compacted && progress.mode() != Progress::Mode::kSnapshot) {
    progress.BeginSnapshot(log_.snapshot());
    return;
  }
  while (progress.next() <= log_.last_index() &&
         progress.CanSendEntries(options_.max_inflight_appends)) {
    const LogIndex prev(progress.next().value() - 1);
    Append append{prev, log_.TermAt(prev).value(), commit_,
                  log_.EntriesFrom(progress.next(), options_.max_batch_bytes),
                  ToSentAt(now)};
    const LogIndex last = append.entries.back().index;
    Queue(to, std::move(append), SendAfter::kHardState);
    progress.NoteSentEntries(last);
  }
}

void Replica::SendHeartbeat(const MemberId& to,
                            Progress& progress,
                            TimePoint now) {
  LogIndex prev(progress.next().value() - 1);
  std::optional<Term> prev_term = log_.TermAt(prev);
  if (progress.mode() == Progress::Mode::kSnapshot || !prev_term) {
    prev = LogIndex(0);
    prev_term = Term(0);
  }
  Queue(to, Append{prev, *prev_term, commit_, {}, ToSentAt(now)},
        SendAfter::kHardState);
}

void Replica::SendSnapshotPart(const MemberId& to,
                               Progress& progress,
                               TimePoint now) {
  if (!progress.CanSendSnapshotPart(now) ||
      !progress.AnsweredSince(now - options_.election_timeout_max)) {
    return;
  }
  const Snapshot& snapshot = *progress.snapshot();
  const std::uint64_t offset =
      std::min<std::uint64_t>(progress.snapshot_offset(), snapshot.data.size());
  Queue(to,
        InstallSnapshot{
            snapshot.index, snapshot.term, snapshot.membership, offset,
            snapshot.data.size(),
            snapshot.data.substr(offset, options_.snapshot_chunk_bytes),
            ToSentAt(now)},
        SendAfter::kHardState);
  progress.NoteSentSnapshotPart(now, options_.election_timeout_min);
}

void Replica::OnBody(const Message& message,
                     const AppendReply& body,
                     TimePoint now) {
  Progress* progress =
      leader_state_ ? leader_state_->FindProgress(message.from) : nullptr;
  if (progress == nullptr) {
    return;
  }
  const TimePoint sent_at = FromSentAt(body.sent_at, now);
  progress->NoteAnswer(sent_at);
  if (body.accepted) {
    if (body.match <= log_.last_index()) {
      progress->NoteAccepted(body.match, now);
    }
    return;
  }
  if (progress->ShowsRegression(body.last_index, sent_at)) {
    Queue(message.from, Regressed{}, SendAfter::kHardState);
    return;
  }
  progress->NoteRejected(body.rejected_prev, body.hint);
}

void Replica::OnBody(const Message& message,
                     const InstallSnapshotReply& body,
                     TimePoint now) {
  Progress* progress =
      leader_state_ ? leader_state_->FindProgress(message.from) : nullptr;
  if (progress == nullptr) {
    return;
  }
  progress->NoteAnswer(FromSentAt(body.sent_at, now));
  if (progress->snapshot() == nullptr ||
      progress->snapshot()->index != body.index) {
    return;
  }
  if (body.installed) {
    progress->NoteInstalled(body.index, now);
    return;
  }
  progress->NoteSnapshotOffset(body.next_offset);
}

}  // namespace bilberryspool::consensus
