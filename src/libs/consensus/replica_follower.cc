// Replica: handling of the leader's messages by a follower.

#include <algorithm>
#include <utility>

#include "libs/base/check.h"
#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {
namespace {

// A leader only sends consecutive entries with terms that do not decrease.
bool AreWellFormed(const Append& body, Term term) {
  LogIndex expected = body.prev_index;
  Term previous = body.prev_term;
  for (const LogEntry& entry : body.entries) {
    expected = expected.Next();
    if (entry.index != expected || entry.term < previous || entry.term > term) {
      return false;
    }
    previous = entry.term;
  }
  return true;
}

}  // namespace

void Replica::FollowLeader(const Message& message, TimePoint now) {
  BILBERRYSPOOL_INVARIANT(!leader_state_, "a term has one leader");
  BILBERRYSPOOL_INVARIANT(!leader_ || *leader_ == message.from,
                          "a term has one leader");
  BecomeFollower(hard_state_.term, now);
  leader_ = message.from;
  election_.NoteLeaderContact(now);
  election_.ResetTimeout(now);
}

void Replica::OnBody(const Message& message,
                     const Append& body,
                     TimePoint now) {
  if (!AreWellFormed(body, message.term)) {
    return;
  }
  FollowLeader(message, now);
  AppendReply reply;
  reply.sent_at = body.sent_at;
  if (!MatchesLog(body)) {
    reply.rejected_prev = body.prev_index;
    reply.hint = ConflictHint(body.prev_index);
    reply.last_index = log_.last_index();
    Queue(message.from, reply, SendAfter::kHardState);
    return;
  }
  AppendReceivedEntries(body.entries);
  const LogIndex verified(body.prev_index.value() + body.entries.size());
  commit_ = std::max(commit_, std::min(body.commit, verified));
  reply.accepted = true;
  reply.last_index = log_.last_index();
  // The reply to a heartbeat does not wait for the disk, because it renews the
  // leader's lease.
  const bool is_heartbeat = body.entries.empty();
  reply.match =
      is_heartbeat ? std::min(verified, log_.durable_index()) : verified;
  Queue(message.from, reply,
        is_heartbeat ? SendAfter::kHardState : SendAfter::kEverything);
}

bool Replica::MatchesLog(const Append& body) const {
  // Entries up to the commit index are the same on every replica.
  if (body.prev_index <= commit_) {
    return true;
  }
  const std::optional<Term> term = log_.TermAt(body.prev_index);
  return term && *term == body.prev_term;
}

LogIndex Replica::ConflictHint(LogIndex prev_index) const {
  if (prev_index > log_.last_index()) {
    return log_.last_index();
  }
  const std::optional<Term> conflicting = log_.TermAt(prev_index);
  LogIndex hint = prev_index;
  while (hint > commit_ && log_.TermAt(hint) == conflicting) {
    hint = LogIndex(hint.value() - 1);
  }
  return hint;
}

void Replica::AppendReceivedEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index < log_.first_index() ||
        log_.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= log_.last_index()) {
      BILBERRYSPOOL_INVARIANT(entry.index > commit_,
                              "committed entries are never truncated");
      log_.TruncateFrom(entry.index);
      truncate_from_ = entry.index;
    }
    log_.Append(entry);
    new_entries_.push_back(entry);
  }
}

void Replica::OnBody(const Message& message,
                     const InstallSnapshot& body,
                     TimePoint now) {
  FollowLeader(message, now);
  InstallSnapshotReply reply{body.index, 0, false, body.sent_at};
  if (body.index > commit_) {
    // Each leader sends a snapshot of its own, so parts of snapshots of
    // different terms must not be combined.
    if (incoming_.index != body.index || incoming_term_ != message.term) {
      incoming_term_ = message.term;
      incoming_ = {body.index, body.snapshot_term, body.membership, ""};
    }
    const std::size_t received = incoming_.data.size();
    if (body.offset == received && received + body.data.size() <= body.total) {
      incoming_.data += body.data;
    }
    reply.next_offset = incoming_.data.size();
    if (reply.next_offset == body.total) {
      InstallIncoming(body);
    }
  }
  reply.installed = body.index <= commit_;
  Queue(message.from, reply, SendAfter::kEverything);
}

void Replica::InstallIncoming(const InstallSnapshot& body) {
  auto snapshot =
      std::make_shared<const Snapshot>(std::exchange(incoming_, Snapshot{}));
  FlushPersist();
  const PersistTicket ticket = outbox_.NextTicket();
  const bool reset_log = log_.Install(snapshot);
  log_.ExpectDurable(ticket);
  compaction_ticket_.reset();
  commit_ = body.index;
  applied_ = body.index;
  actions_.push_back(PersistSnapshot{ticket, snapshot, reset_log});
  actions_.push_back(RestoreSnapshot{std::move(snapshot)});
}

}  // namespace bilberryspool::consensus
