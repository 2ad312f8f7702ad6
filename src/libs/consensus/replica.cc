#include "libs/consensus/replica.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::consensus {

Replica::Replica(RecoveredState state,
                 ReplicaOptions options,
                 std::uint64_t seed)
    : self_(std::move(state.self)),
      options_(std::move(options)),
      hard_state_(std::move(state.hard_state)),
      log_(std::move(state.snapshot), std::move(state.entries)),
      election_(options_, seed),
      bootstrap_(options_, self_),
      random_(seed + 1) {
  if (log_.snapshot() != nullptr) {
    commit_ = log_.snapshot()->index;
    applied_ = commit_;
  }
}

std::vector<Action> Replica::Handle(const Event& event, TimePoint now) {
  if (!started_) {
    Start(now);
  }
  std::visit([&](const auto& it) { On(it, now); }, event);
  Finish(now);
  return std::exchange(actions_, {});
}

std::optional<TimePoint> Replica::next_deadline() const {
  if (!started_) {
    return TimePoint{};
  }
  if (role_ == Role::kHalted) {
    return std::nullopt;
  }
  if (is_blank()) {
    return bootstrap_.deadline();
  }
  if (leader_state_) {
    return leader_state_->heartbeat_at();
  }
  const TimePoint ask_at =
      std::max(election_.leader_lost_at(), bootstrap_.deadline());
  return log_.membership().IsVoter(self_)
             ? std::min(ask_at, election_.deadline())
             : ask_at;
}

bool Replica::is_leader_with_lease(TimePoint now) const {
  return leader_state_ && commit_ >= term_start_index_ &&
         leader_state_->HasLease(log_.membership(), now);
}

void Replica::Start(TimePoint now) {
  started_ = true;
  if (!is_blank()) {
    election_.NoteLeaderContact(now);
  }
  election_.ResetTimeout(now);
  if (log_.snapshot() != nullptr) {
    actions_.push_back(RestoreSnapshot{log_.snapshot()});
  }
}

void Replica::On(const Tick& /*tick*/, TimePoint now) {
  if (role_ == Role::kHalted) {
    return;
  }
  if (is_blank()) {
    TickBlank(now);
    return;
  }
  if (leader_state_) {
    TickLeader(now);
    return;
  }
  if (now >= election_.leader_lost_at()) {
    AskForAdmission(now);
  }
  if (election_.IsDue(now) && log_.membership().IsVoter(self_)) {
    StartPreVote(now);
  }
}

void Replica::On(const MessageReceived& received, TimePoint now) {
  const Message& message = received.message;
  if (role_ == Role::kHalted || !AcceptHeader(message) ||
      !AcceptTerm(message, now)) {
    return;
  }
  std::visit([&](const auto& body) { OnBody(message, body, now); },
             message.body);
}

void Replica::On(const Persisted& persisted, TimePoint now) {
  if (role_ == Role::kHalted) {
    return;
  }
  outbox_.MarkPersisted(persisted.ticket);
  log_.MarkDurable(persisted.ticket);
  if (role_ == Role::kCandidate && outbox_.is_hard_state_durable()) {
    election_.NoteGranted(self_);
    NoteElectionProgress(now);
  }
  if (compaction_ticket_ && *compaction_ticket_ <= persisted.ticket) {
    compaction_ticket_.reset();
    const std::uint64_t kept = std::min<std::uint64_t>(
        options_.retained_entries, compaction_index_.value());
    const LogIndex through(compaction_index_.value() - kept);
    log_.Compact(through);
    actions_.push_back(CompactLog{through});
  }
}

void Replica::On(const Propose& propose, TimePoint now) {
  if (!leader_state_ || leader_state_->transfer_deadline() ||
      !leader_state_->HasLease(log_.membership(), now)) {
    actions_.push_back(
        ProposalOutcome{propose.ticket, NotLeader{LeaderHint()}});
    return;
  }
  if (leader_state_->pending_count() >= options_.max_pending_proposals) {
    actions_.push_back(ProposalOutcome{propose.ticket, Busy{}});
    return;
  }
  const LogIndex index = AppendAsLeader(Command{propose.bytes});
  leader_state_->AddPending(index, propose.ticket);
}

void Replica::On(const ChangeMembership& change, TimePoint now) {
  if (!leader_state_ || leader_state_->transfer_deadline() ||
      !leader_state_->HasLease(log_.membership(), now)) {
    actions_.push_back(ProposalOutcome{change.ticket, NotLeader{LeaderHint()}});
    return;
  }
  const auto refuse = [&](RefusalReason reason) {
    actions_.push_back(ProposalOutcome{change.ticket, Refused{reason}});
  };
  const auto result = NextMembership(log_.membership(), change.change);
  if (const auto* reason = std::get_if<RefusalReason>(&result)) {
    refuse(*reason);
    return;
  }
  const Membership& next = std::get<Membership>(result);
  if (const auto reason = CheckChange(change.change, next, now)) {
    refuse(*reason);
    return;
  }
  const LogIndex index = AppendAsLeader(next);
  leader_state_->AddPending(index, change.ticket);
}

void Replica::On(const ReadBarrier& read, TimePoint /*now*/) {
  if (leader_state_) {
    leader_state_->AddRead(read.ticket);
    return;
  }
  actions_.push_back(ReadOutcome{read.ticket, NotLeader{LeaderHint()}});
}

void Replica::On(const SnapshotTaken& taken, TimePoint /*now*/) {
  const bool is_known = taken.index <= applied_ && log_.TermAt(taken.index);
  const bool is_newer =
      log_.snapshot() == nullptr || taken.index > log_.snapshot()->index;
  if (role_ == Role::kHalted || !is_known || !is_newer) {
    return;
  }
  auto snapshot = std::make_shared<const Snapshot>(
      Snapshot{taken.index, *log_.TermAt(taken.index),
               log_.MembershipAt(taken.index), taken.data});
  FlushPersist();
  const PersistTicket ticket = outbox_.NextTicket();
  log_.set_snapshot(snapshot);
  compaction_ticket_ = ticket;
  compaction_index_ = taken.index;
  actions_.push_back(PersistSnapshot{ticket, std::move(snapshot), false});
}

void Replica::On(const PeersLearned& learned, TimePoint now) {
  bootstrap_.AddPeers(learned.peers, now);
}

void Replica::On(const TransferLeadership& /*transfer*/, TimePoint now) {
  if (leader_state_ && log_.membership().voters.size() > 1) {
    leader_state_->BeginTransfer(now);
  }
}

void Replica::Finish(TimePoint now) {
  if (leader_state_) {
    AdvanceCommit();
    AdvanceMembership(now);
  }
  ApplyCommitted();
  if (leader_state_) {
    AnswerReads(now);
    SendToFollowers(now);
    AdvanceTransfer(now);
  }
  FlushPersist();
  outbox_.AssignTickets();
  for (Message& message : outbox_.TakeSendable()) {
    actions_.push_back(Send{std::move(message)});
  }
  ReportRoleChange();
}

void Replica::FlushPersist() {
  if (!hard_state_changed_ && !truncate_from_ && new_entries_.empty()) {
    return;
  }
  Persist persist;
  persist.ticket = outbox_.NextTicket();
  if (hard_state_changed_) {
    persist.hard_state = hard_state_;
    outbox_.NoteHardStateTicket(persist.ticket);
  }
  persist.truncate_from = std::exchange(truncate_from_, std::nullopt);
  persist.entries = std::exchange(new_entries_, {});
  hard_state_changed_ = false;
  log_.ExpectDurable(persist.ticket);
  actions_.push_back(std::move(persist));
}

void Replica::ApplyCommitted() {
  BILBERRYSPOOL_INVARIANT(commit_ <= log_.last_index(),
                          "the commit index is within the log");
  BILBERRYSPOOL_INVARIANT(applied_ <= commit_,
                          "only committed entries are applied");
  if (applied_ == commit_) {
    return;
  }
  actions_.push_back(Apply{log_.EntriesBetween(applied_.Next(), commit_)});
  applied_ = commit_;
  if (!leader_state_) {
    return;
  }
  for (const PendingProposal& done : leader_state_->TakeCommitted(commit_)) {
    actions_.push_back(ProposalOutcome{done.ticket, Accepted{done.index}});
  }
}

void Replica::ReportRoleChange() {
  const ReportedRole current{role_, hard_state_.term, leader_};
  if (current == reported_role_) {
    return;
  }
  reported_role_ = current;
  actions_.push_back(RoleChanged{role_, hard_state_.term, LeaderHint()});
}

std::optional<NodeId> Replica::LeaderHint() const {
  if (!leader_) {
    return std::nullopt;
  }
  return leader_->node;
}

void Replica::Queue(const MemberId& to, MessageBody body, SendAfter after) {
  outbox_.Queue({self_, to, hard_state_.cluster, hard_state_.epoch,
                 hard_state_.term, std::move(body)},
                after);
}

}  // namespace bilberryspool::consensus
