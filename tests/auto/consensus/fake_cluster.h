// Runs replicas in one process on a simulated network, disks and clocks, and
// checks the invariants that must hold in every run.

#ifndef AUTO_CONSENSUS_FAKE_CLUSTER_H_
#define AUTO_CONSENSUS_FAKE_CLUSTER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {

struct NetworkFaults {
  double loss = 0.0;
  double duplication = 0.0;
  Duration delay_min = Microseconds(100);
  Duration delay_max = Milliseconds(2);
  Duration sync_max = Milliseconds(8);
};

struct FakeDisk {
  MemberId self;
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;
  std::vector<LogEntry> entries;
};

// One replica with its disk, its clock and the application behind it.
struct FakeNode {
  FakeDisk disk;
  // Written, but not yet synced.
  std::deque<Action> unsynced;
  std::optional<Replica> replica;
  std::uint64_t start_count = 0;
  double clock_rate = 1.0;
  Duration clock_offset{};
  TimePoint frozen_until;
  LogIndex applied;
  std::uint64_t state = 0;
  bool halted = false;
};

class FakeCluster {
 public:
  FakeCluster(int size, ReplicaOptions options, std::uint64_t seed);

  TimePoint now() const { return now_; }
  // The time of the node's own clock.
  TimePoint LocalTime(const FakeNode& node) const;
  Random& random() { return random_; }
  NetworkFaults& faults() { return faults_; }
  std::map<NodeId, FakeNode>& nodes() { return nodes_; }
  FakeNode& node(const std::string& name) { return nodes_.at(NodeId(name)); }
  // The node that holds a lease, or null if none does.
  FakeNode* leader();

  // Adds a node with a new folder that is not an initial voter.
  void AddNode(const std::string& name);
  void Start(const NodeId& id);
  // Stops the replica. The disk keeps the synced writes and a random part of
  // the others.
  void Crash(const NodeId& id);
  // Runs until the node has an unsynced write, then crashes it, or with `all`
  // every node at once.
  void CrashWhileSyncing(const NodeId& id, bool all);
  // Crashes the node and restarts it with a new, empty folder.
  void LoseDisk(const NodeId& id);
  // Whether every active membership keeps a majority without the disk of `id`.
  bool CanLoseDisk(const NodeId& id) const;
  // Changes the rate of the node's clock without a jump.
  void SetClockRate(const NodeId& id, double rate);
  void Freeze(const NodeId& id, Duration duration);
  void Cut(const NodeId& from, const NodeId& to) { cuts_.insert({from, to}); }
  void Isolate(const NodeId& id);
  void HealNetwork();

  void Run(Duration duration);
  // Runs until `done` returns true; returns false if it does not within
  // `limit`.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void Deliver(const NodeId& id, const Event& event);

  // Each returns the ticket of the outcome in outcomes() or reads().
  RequestTicket ProposeTo(const NodeId& id);
  RequestTicket ReadFrom(const NodeId& id);
  RequestTicket ChangeAt(const NodeId& id, MembershipChange change);
  void TakeSnapshot(const NodeId& id);
  // Does what an operator would do: replaces a voter whose folder was lost, or
  // removes a learner whose folder was lost.
  void RepairMembership();

  const std::map<RequestTicket, ProposalOutcome>& outcomes() const {
    return outcomes_;
  }
  const std::map<RequestTicket, ReadOutcome>& reads() const { return reads_; }
  bool IsAccepted(RequestTicket ticket) const;
  LogIndex highest_accepted() const { return highest_accepted_; }
  // Empty while every invariant holds.
  const std::string& failure() const { return failure_; }
  void Fail(const std::string& what);
  std::size_t messages_sent() const { return messages_sent_; }

 private:
  struct Wakeup {
    TimePoint at;
    std::uint64_t order = 0;
    NodeId node;
    std::uint64_t start_count = 0;
    Event event;

    bool operator>(const Wakeup& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  TimePoint GlobalTime(const FakeNode& node, TimePoint local) const;
  void Schedule(TimePoint at, const NodeId& id, Event event);
  void ScheduleTick(const NodeId& id);
  void Handle(const NodeId& id, const Event& event);
  void SyncUpTo(FakeNode& node, PersistTicket ticket);
  void Execute(const NodeId& id, const Send& send);
  void Execute(const NodeId& id, const Persist& persist);
  void Execute(const NodeId& id, const PersistSnapshot& persist);
  void Execute(const NodeId& id, const CompactLog& compact);
  void Execute(const NodeId& id, const Apply& apply);
  void Execute(const NodeId& id, const RestoreSnapshot& restore);
  void Execute(const NodeId& id, const ProposalOutcome& outcome);
  void Execute(const NodeId& id, const ReadOutcome& outcome);
  void Execute(const NodeId& id, const RoleChanged& changed);
  void Execute(const NodeId& id, const Halted& halted);
  void CheckLeases();
  void CheckLeaderLog(const Replica& replica);

  ReplicaOptions options_;
  Random random_;
  TimePoint now_;
  std::uint64_t order_ = 0;
  std::uint64_t next_identity_ = 100;
  std::uint64_t next_ticket_ = 1;
  NetworkFaults faults_;
  std::map<NodeId, FakeNode> nodes_;
  std::set<std::pair<NodeId, NodeId>> cuts_;
  std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> queue_;
  std::set<MemberId> lost_;
  std::size_t messages_sent_ = 0;

  std::string failure_;
  // The entry that some replica applied at each index, and the state after it.
  std::map<LogIndex, LogEntry> committed_;
  std::map<LogIndex, std::uint64_t> states_;
  // For each index, a term not lower than that in which the entry was
  // committed.
  std::map<LogIndex, Term> commit_terms_;
  std::map<Term, std::pair<MemberId, std::uint64_t>> leaders_;
  std::map<RequestTicket, ProposalOutcome> outcomes_;
  std::map<RequestTicket, ReadOutcome> reads_;
  std::map<RequestTicket, std::string> proposed_;
  std::map<RequestTicket, LogIndex> min_read_index_;
  LogIndex highest_accepted_;
};

}  // namespace bilberryspool::consensus

#endif  // AUTO_CONSENSUS_FAKE_CLUSTER_H_
