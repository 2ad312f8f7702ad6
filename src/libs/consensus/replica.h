// State machine of one replica of the replicated log (Raft).
//
// Three or five replicas, each with a data folder, agree on one sequence of
// commands. An accepted command is in the log of every later leader despite
// crashes, partitions, delays and duplicated messages, as long as no majority
// of the folders is lost.
//
// Failures that it handles:
// - A leader that is partitioned and unaware of its successor: it acts only
//   under a lease that a quorum renews, and members of the quorum grant no vote
//   while the lease may depend on them.
// - State lost in a crash: a message is sent only after the state that it
//   depends on is synced to disk.
// - A replica that returns from a partition: a pre-vote precedes each election,
//   so that it does not depose a healthy leader.
// - A lost folder: members are identified by node and folder, so a new folder
//   neither votes as the lost one nor creates a second log.
//
// Performs no I/O: takes events and `now`, returns actions. The host executes
// all actions of one event in order before it passes the next event, reports
// Persisted, and sends Tick at next_deadline() or later.

#ifndef LIBS_CONSENSUS_REPLICA_H_
#define LIBS_CONSENSUS_REPLICA_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/consensus/bootstrap.h"
#include "libs/consensus/election.h"
#include "libs/consensus/leader_state.h"
#include "libs/consensus/log_view.h"
#include "libs/consensus/outbox.h"
#include "libs/consensus/replica_action.h"
#include "libs/consensus/replica_event.h"
#include "libs/consensus/replica_options.h"

namespace bilberryspool::consensus {

class Replica {
 public:
  Replica(RecoveredState state, ReplicaOptions options, std::uint64_t seed);

  std::vector<Action> Handle(const Event& event, TimePoint now);
  // Time of the next required Tick; nullopt if none is required.
  std::optional<TimePoint> next_deadline() const;

  // Whether this replica leads and may execute commands and answer reads.
  bool is_leader_with_lease(TimePoint now) const;

  const MemberId& self() const { return self_; }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const HardState& hard_state() const { return hard_state_; }
  const std::optional<MemberId>& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex applied_index() const { return applied_; }
  const LogView& log() const { return log_; }
  // Whether the folder is new: no log was created or joined.
  bool is_blank() const { return hard_state_.cluster == ClusterId(0); }
  // nullopt unless this replica leads.
  const std::optional<LeaderState>& leader_state() const {
    return leader_state_;
  }
  // Replicas that sent Hello recently and are not members, by node; candidates
  // for AddLearner and ReplaceVoter.
  std::map<NodeId, MemberId> awaiting_admission(TimePoint now) const;

 private:
  struct ReportedRole {
    Role role = Role::kFollower;
    Term term;
    std::optional<MemberId> leader;

    bool operator==(const ReportedRole&) const = default;
  };

  // replica.cc: events from the host.
  void On(const Tick& tick, TimePoint now);
  void On(const MessageReceived& received, TimePoint now);
  void On(const Persisted& persisted, TimePoint now);
  void On(const Propose& propose, TimePoint now);
  void On(const ChangeMembership& change, TimePoint now);
  void On(const ReadBarrier& read, TimePoint now);
  void On(const SnapshotTaken& taken, TimePoint now);
  void On(const TransferLeadership& transfer, TimePoint now);
  void On(const PeersLearned& learned, TimePoint now);
  void Start(TimePoint now);
  // Runs after each event: advances the commit index and queues messages and
  // writes.
  void Finish(TimePoint now);
  void FlushPersist();
  void ApplyCommitted();
  void ReportRoleChange();
  std::optional<NodeId> LeaderHint() const;
  void Queue(const MemberId& to, MessageBody body, SendAfter after);

  // replica_header.cc: checks of message headers and terms, and bootstrap.
  bool AcceptHeader(const Message& message);
  bool AcceptBlank(const Message& message);
  bool AcceptTerm(const Message& message, TimePoint now);
  void RejectOldTerm(const Message& message);
  void Halt(HaltReason reason);
  void TickBlank(TimePoint now);
  void SendHello(TimePoint now);
  void AskForAdmission(TimePoint now);
  void BootstrapLog(Membership membership, TimePoint now);

  // replica_election.cc
  void StartPreVote(TimePoint now);
  void StartVote(bool forced, TimePoint now);
  void NoteElectionProgress(TimePoint now);
  void BecomeLeader(TimePoint now);
  void BecomeFollower(Term term, TimePoint now);
  // Whether a lease, of this replica or of another leader, forbids a vote.
  bool MustHonorLease(TimePoint now) const;
  bool IsUpToDate(LogIndex last_index, Term last_term) const;
  void OnBody(const Message& message, const PreVote& body, TimePoint now);
  void OnBody(const Message& message, const PreVoteReply& body, TimePoint now);
  void OnBody(const Message& message, const Vote& body, TimePoint now);
  void OnBody(const Message& message, const VoteReply& body, TimePoint now);
  void OnBody(const Message& message, const TimeoutNow& body, TimePoint now);
  void OnBody(const Message& message, const Hello& body, TimePoint now);
  void OnBody(const Message& message, const HelloReply& body, TimePoint now);
  void OnBody(const Message& message, const Superseded& body, TimePoint now);
  void OnBody(const Message& message, const Regressed& body, TimePoint now);

  // replica_follower.cc
  void FollowLeader(const Message& message, TimePoint now);
  void OnBody(const Message& message, const Append& body, TimePoint now);
  void OnBody(const Message& message,
              const InstallSnapshot& body,
              TimePoint now);
  bool MatchesLog(const Append& body) const;
  LogIndex ConflictHint(LogIndex prev_index) const;
  void AppendReceivedEntries(const std::vector<LogEntry>& entries);
  void InstallIncoming(const InstallSnapshot& body);

  // replica_leader.cc
  void OnBody(const Message& message, const AppendReply& body, TimePoint now);
  void OnBody(const Message& message,
              const InstallSnapshotReply& body,
              TimePoint now);
  void TickLeader(TimePoint now);
  LogIndex AppendAsLeader(EntryPayload payload);
  void AdvanceCommit();
  void AdvanceMembership(TimePoint now);
  void AdvanceTransfer(TimePoint now);
  void TransferLeadershipTo(const MemberId& successor, TimePoint now);
  void AnswerReads(TimePoint now);
  void SendToFollowers(TimePoint now);
  void SendEntries(const MemberId& to, Progress& progress, TimePoint now);
  void SendHeartbeat(const MemberId& to, Progress& progress, TimePoint now);
  void SendSnapshotPart(const MemberId& to, Progress& progress, TimePoint now);
  std::optional<RefusalReason> CheckChange(const MembershipChange& change,
                                           const Membership& next,
                                           TimePoint now) const;
  // Whether the leader has committed an entry of its own term and the latest
  // membership, so that the next change may start.
  bool CanChangeMembership() const;

  MemberId self_;
  ReplicaOptions options_;
  HardState hard_state_;
  LogView log_;
  Election election_;
  Bootstrap bootstrap_;
  Outbox outbox_;
  Random random_;

  bool started_ = false;
  Role role_ = Role::kFollower;
  std::optional<MemberId> leader_;
  ReportedRole reported_role_;
  LogIndex commit_;
  LogIndex applied_;
  // Index of the first entry of this replica's own term as leader.
  LogIndex term_start_index_;
  std::optional<LeaderState> leader_state_;
  struct HelloSender {
    MemberId member;
    TimePoint heard_at;
  };
  std::map<NodeId, HelloSender> hello_senders_;

  // Changes of the current event that must be written, and its actions.
  bool hard_state_changed_ = false;
  std::optional<LogIndex> truncate_from_;
  std::vector<LogEntry> new_entries_;
  std::vector<Action> actions_;

  // A snapshot of this replica's own state that is being synced.
  std::optional<PersistTicket> compaction_ticket_;
  LogIndex compaction_index_;
  // A snapshot that is being received.
  Snapshot incoming_;
  Term incoming_term_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_REPLICA_H_
