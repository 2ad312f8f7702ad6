#ifndef LIBS_CONSENSUS_LEADER_STATE_H_
#define LIBS_CONSENSUS_LEADER_STATE_H_

#include <map>
#include <optional>
#include <vector>

#include "libs/consensus/log_view.h"
#include "libs/consensus/progress.h"
#include "libs/consensus/replica_action.h"
#include "libs/consensus/replica_options.h"

namespace bilberryspool::consensus {

// A request that waits for its log entry to be committed.
struct PendingProposal {
  LogIndex index;
  RequestTicket ticket;
};

// State that only a leader has, for one term: the progress of its followers,
// its lease and the pending requests.
class LeaderState {
 public:
  LeaderState(MemberId self,
              const ReplicaOptions& options,
              const LogView& log,
              TimePoint now);

  // Keeps one Progress for each other member.
  void SyncMembers(const LogView& log);
  std::map<MemberId, Progress>& progress() { return progress_; }
  const std::map<MemberId, Progress>& progress() const { return progress_; }
  Progress* FindProgress(const MemberId& id);

  // The highest index that is synced to disk on a quorum.
  LogIndex QuorumMatch(const LogView& log) const;
  // The latest time such that a quorum has acknowledged messages sent then or
  // later; the leader itself counts as of `now`.
  TimePoint QuorumContact(const Membership& membership, TimePoint now) const;
  bool HasLease(const Membership& membership, TimePoint now) const;
  // Whether voters with an acknowledgement within `election_timeout_max` form a
  // quorum of `membership`.
  bool HasHealthyQuorum(const Membership& membership, TimePoint now) const;
  // Whether the member responds and is within `catch_up_slack` entries of
  // `last_index`.
  bool HasCaughtUp(const MemberId& id,
                   LogIndex last_index,
                   TimePoint now) const;

  bool IsHeartbeatDue(TimePoint now) const { return now >= heartbeat_at_; }
  void NoteHeartbeat(TimePoint now);
  TimePoint heartbeat_at() const { return heartbeat_at_; }
  TimePoint started_at() const { return started_at_; }

  void AddPending(LogIndex index, RequestTicket ticket);
  std::size_t pending_count() const { return pending_.size(); }
  // Removes and returns the requests whose entries are committed.
  std::vector<PendingProposal> TakeCommitted(LogIndex commit);
  // Removes and returns all pending requests, when leadership ends.
  std::vector<PendingProposal> TakeAllPending();

  void AddRead(RequestTicket ticket) { reads_.push_back(ticket); }
  std::vector<RequestTicket> TakeReads();

  void BeginTransfer(TimePoint now) {
    transfer_deadline_ = now + transfer_timeout_;
  }
  void EndTransfer() { transfer_deadline_.reset(); }
  const std::optional<TimePoint>& transfer_deadline() const {
    return transfer_deadline_;
  }

 private:
  MemberId self_;
  Duration lease_;
  Duration recent_contact_window_;
  Duration heartbeat_interval_;
  Duration transfer_timeout_;
  std::size_t catch_up_slack_;
  TimePoint started_at_;
  TimePoint heartbeat_at_;
  std::map<MemberId, Progress> progress_;
  std::map<LogIndex, RequestTicket> pending_;
  std::vector<RequestTicket> reads_;
  std::optional<TimePoint> transfer_deadline_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_LEADER_STATE_H_
