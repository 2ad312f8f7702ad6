// Tests scripted failures of the leader, the quorum and the disks.

#include <doctest/doctest.h>

#include "auto/consensus/fake_cluster.h"

namespace bilberryspool::consensus {
namespace {

struct ElectedCluster {
  explicit ElectedCluster(int size, ReplicaOptions options = {})
      : cluster(size, std::move(options), 1) {
    cluster.Run(Seconds(3));
    leader = cluster.leader()->disk.self.node;
    for (const auto& [id, node] : cluster.nodes()) {
      if (id != leader) {
        others.push_back(id);
      }
    }
  }

  const Replica& replica(const NodeId& id) {
    return *cluster.nodes().at(id).replica;
  }

  FakeCluster cluster;
  NodeId leader;
  std::vector<NodeId> others;
};

// The leader of term 4 of three voters, with an entry of term 2 before its own.
struct LeaderOfThree {
  LeaderOfThree() {
    replica.Handle(Tick{}, now);
    now = *replica.next_deadline();
    replica.Handle(Tick{}, now);
    Receive(PreVoteReply{Term(4), true}, Term(3));
    replica.Handle(Persisted{PersistTicket(1)}, now);
    Receive(VoteReply{true}, Term(4));
    REQUIRE(replica.role() == Role::kLeader);
    replica.Handle(Persisted{PersistTicket(2)}, now);
  }

  void Receive(MessageBody body, Term term) {
    replica.Handle(MessageReceived{{peer, self, hard.cluster, hard.epoch, term,
                                    std::move(body)}},
                   now);
  }

  AppendReply AcceptedTo(std::uint64_t match) const {
    AppendReply reply;
    reply.accepted = true;
    reply.match = LogIndex(match);
    reply.sent_at = now.time_since_epoch().count();
    return reply;
  }

  MemberId self{NodeId("a"), ReplicaIdentity(1)};
  MemberId peer{NodeId("b"), ReplicaIdentity(2)};
  Membership members{{self, peer, {NodeId("c"), ReplicaIdentity(3)}}, {}, {}};
  HardState hard{ClusterId(9), RecoveryEpoch(0), Term(3), std::nullopt};
  Replica replica{
      {self,
       hard,
       nullptr,
       {{LogIndex(1), Term(1), members}, {LogIndex(2), Term(2), Command{"x"}}}},
      ReplicaOptions{},
      1};
  TimePoint now;
};

TEST_CASE("a leader that is cut off stops accepting before another leads") {
  // Guards against two control VMs that both answer operators. The leader is
  // partitioned without noticing, its clock is slow within the drift bound, and
  // the others elect a new leader. It fails if the old leader relies on its
  // role instead of on a lease from a quorum.
  for (const int size : {3, 5}) {
    ReplicaOptions options;
    options.election_timeout_max =
        options.election_timeout_min + Milliseconds(1);
    ElectedCluster run(size, options);
    run.cluster.faults().delay_max = Microseconds(200);
    run.cluster.faults().sync_max = Microseconds(200);
    for (const NodeId& id : run.others) {
      run.cluster.SetClockRate(id, 1.01);
    }
    run.cluster.SetClockRate(run.leader, 0.99);
    run.cluster.Run(Seconds(3));
    REQUIRE(run.cluster.leader()->disk.self.node == run.leader);
    run.cluster.Isolate(run.leader);
    const bool elected = run.cluster.RunUntil(
        [&] {
          FakeNode* now = run.cluster.leader();
          return now != nullptr && now->disk.self.node != run.leader;
        },
        Seconds(10));
    CHECK(elected);
    const RequestTicket refused = run.cluster.ProposeTo(run.leader);
    CHECK(std::holds_alternative<NotLeader>(
        run.cluster.outcomes().at(refused).result));
    const RequestTicket unread = run.cluster.ReadFrom(run.leader);
    run.cluster.Run(Seconds(3));
    CHECK(std::holds_alternative<NotLeader>(
        run.cluster.reads().at(unread).result));
    CHECK(run.cluster.failure() == "");
  }
}

TEST_CASE("a voter in contact with its leader votes for no other") {
  // Guards against a healthy leader that is deposed, or two leaders with a
  // lease. The link from the leader to one follower fails in one direction;
  // that follower starts an election. It fails if the other follower grants a
  // vote while a lease depends on it.
  ElectedCluster run(3);
  run.cluster.Cut(run.leader, run.others[0]);
  const Term term = run.replica(run.leader).term();
  for (int i = 0; i < 20; ++i) {
    run.cluster.Run(Milliseconds(500));
    REQUIRE(run.cluster.leader() != nullptr);
    CHECK(run.cluster.leader()->disk.self.node == run.leader);
  }
  CHECK(run.replica(run.leader).term() == term);
  CHECK(run.cluster.failure() == "");
}

TEST_CASE("a voter that restarts still honours the lease that it renewed") {
  // Guards against two leaders with a lease after a restart. One follower
  // receives nothing from the leader, and the follower that still does restarts
  // repeatedly. It fails if a restart loses the time of the last leader
  // contact.
  ElectedCluster run(3);
  run.cluster.Cut(run.leader, run.others[0]);
  for (int i = 0; i < 100; ++i) {
    run.cluster.Run(Milliseconds(60L * (i % 5)));
    run.cluster.Crash(run.others[1]);
    run.cluster.Start(run.others[1]);
    REQUIRE(run.cluster.leader() != nullptr);
    CHECK(run.cluster.leader()->disk.self.node == run.leader);
  }
  CHECK(run.cluster.failure() == "");
}

TEST_CASE("a replica that returns from a partition causes no election") {
  // Guards against an election at each return of a VM. A follower is
  // partitioned for a long time and returns. Without the pre-vote, its term
  // would increase with each of its election attempts.
  ElectedCluster run(3);
  const Term term = run.replica(run.leader).term();
  run.cluster.Isolate(run.others[0]);
  run.cluster.Run(Seconds(60));
  run.cluster.HealNetwork();
  run.cluster.Run(Seconds(5));
  CHECK(run.replica(run.leader).term() == term);
  CHECK(run.replica(run.leader).role() == Role::kLeader);
}

TEST_CASE("a leader commits no entry of an earlier term by counting copies") {
  // Guards against an accepted change that is lost in the next election. A
  // leader of term 4 replicates an entry of term 2 to a majority, and a replica
  // with an entry of term 3 then replaces it. It fails if the entry of term 2
  // counts as committed without one of term 4.
  LeaderOfThree run;
  run.Receive(run.AcceptedTo(2), Term(4));
  CHECK(run.replica.commit_index() == LogIndex(0));
  run.Receive(run.AcceptedTo(3), Term(4));
  CHECK(run.replica.commit_index() == LogIndex(3));
}

TEST_CASE("a leader counts its own entries only after they are synced") {
  // Guards against an accepted change that is lost when the leader loses power.
  // One follower acknowledges an entry that the leader has not synced; the
  // leader loses power and returns without it. It fails if the leader counts
  // its own copy before the sync.
  LeaderOfThree run;
  run.Receive(run.AcceptedTo(3), Term(4));
  run.replica.Handle(Propose{RequestTicket(1), "y"}, run.now);
  run.Receive(run.AcceptedTo(4), Term(4));
  CHECK(run.replica.commit_index() == LogIndex(3));
  run.replica.Handle(Persisted{PersistTicket(3)}, run.now);
  CHECK(run.replica.commit_index() == LogIndex(4));
}

TEST_CASE("a replica votes once per term, and only for an up-to-date log") {
  const MemberId self{NodeId("a"), ReplicaIdentity(1)};
  const MemberId b{NodeId("b"), ReplicaIdentity(2)};
  const MemberId c{NodeId("c"), ReplicaIdentity(3)};
  const std::vector<LogEntry> entries = {
      {LogIndex(1), Term(1), Membership{{self, b, c}, {}, {}}},
      {LogIndex(2), Term(3), NoOp{}}};
  struct Row {
    std::optional<MemberId> voted;
    std::uint64_t term;
    std::uint64_t last_index;
    std::uint64_t last_term;
    bool granted;
  };
  const Row rows[] = {{std::nullopt, 5, 2, 3, true},
                      {b, 5, 2, 3, true},
                      {c, 5, 2, 3, false},
                      {c, 6, 2, 3, true},
                      {std::nullopt, 4, 2, 3, false},
                      {std::nullopt, 5, 1, 3, false},
                      {std::nullopt, 5, 9, 2, false},
                      {std::nullopt, 5, 1, 4, true}};
  for (const Row& row : rows) {
    const HardState hard{ClusterId(9), RecoveryEpoch(0), Term(5), row.voted};
    Replica replica({self, hard, nullptr, entries}, {}, 1);
    replica.Handle(Tick{}, TimePoint{});
    const Vote vote{LogIndex(row.last_index), Term(row.last_term)};
    replica.Handle(MessageReceived{{b, self, hard.cluster, hard.epoch,
                                    Term(row.term), vote}},
                   TimeAt(Seconds(60)));
    const bool granted =
        replica.hard_state().vote == b && replica.term() == Term(row.term);
    CHECK(granted == row.granted);
  }
}

TEST_CASE("parts of snapshots of two leaders are not combined") {
  // Guards against a replica that restores a state that never existed. A leader
  // fails between two parts of its snapshot, and the next leader sends its own
  // snapshot of the same index, whose bytes differ. It fails if parts are
  // distinguished by their index only.
  const MemberId self{NodeId("a"), ReplicaIdentity(1)};
  const ClusterId cluster(9);
  Replica replica({self, {cluster, {}, Term(1), {}}, nullptr, {}}, {}, 1);
  std::string installed;
  const auto receive = [&](std::uint64_t term, std::uint64_t offset,
                           const std::string& data) {
    const MemberId from{NodeId("leader"), ReplicaIdentity(term)};
    const InstallSnapshot part{LogIndex(10), Term(1), {{self}, {}, {}},
                               offset,       4,       data};
    for (const Action& action :
         replica.Handle(MessageReceived{{from, self, cluster, RecoveryEpoch(0),
                                         Term(term), part}},
                        TimePoint{})) {
      if (const auto* restore = std::get_if<RestoreSnapshot>(&action)) {
        installed = restore->snapshot->data;
      }
    }
  };
  receive(5, 0, "ab");
  receive(6, 2, "yz");
  CHECK(installed.empty());
  receive(6, 0, "wx");
  receive(6, 2, "yz");
  CHECK(installed == "wxyz");
}

TEST_CASE("accepted entries survive a power loss of every VM") {
  // Guards against an accepted change that is lost in a power loss. All
  // replicas crash at once, repeatedly, with writes that are not synced. It
  // fails if an acknowledgement is sent before its write is synced.
  ElectedCluster run(3);
  for (int round = 0; round < 20; ++round) {
    FakeNode* leader = run.cluster.leader();
    REQUIRE(leader != nullptr);
    const RequestTicket ticket = run.cluster.ProposeTo(leader->disk.self.node);
    run.cluster.RunUntil([&] { return run.cluster.IsAccepted(ticket); },
                         Seconds(1));
    const LogIndex accepted = run.cluster.highest_accepted();
    for (const auto& [id, node] : run.cluster.nodes()) {
      run.cluster.Crash(id);
    }
    for (const auto& [id, node] : run.cluster.nodes()) {
      run.cluster.Start(id);
    }
    run.cluster.Run(Seconds(8));
    REQUIRE(run.cluster.leader() != nullptr);
    CHECK(run.cluster.leader()->applied >= accepted);
  }
  CHECK(run.cluster.failure() == "");
}

TEST_CASE("failover takes little more than an election timeout") {
  std::vector<Duration> times;
  for (std::uint64_t seed = 1; seed <= 101; ++seed) {
    FakeCluster cluster(3, ReplicaOptions{}, seed);
    cluster.Run(Seconds(3) + Milliseconds(static_cast<int>(seed)));
    REQUIRE(cluster.leader() != nullptr);
    const TimePoint start = cluster.now();
    cluster.Crash(cluster.leader()->disk.self.node);
    CHECK(cluster.RunUntil([&] { return cluster.leader() != nullptr; },
                           Seconds(30)));
    times.push_back(cluster.now() - start);
  }
  std::sort(times.begin(), times.end());
  MESSAGE("failover in simulated time: median "
          << ToSeconds(times[times.size() / 2]) << " s, worst "
          << ToSeconds(times.back()) << " s");
}

TEST_CASE("a planned stop hands over without an election timeout") {
  ElectedCluster run(3);
  run.cluster.Deliver(run.leader, TransferLeadership{});
  const bool moved = run.cluster.RunUntil(
      [&] {
        FakeNode* now = run.cluster.leader();
        return now != nullptr && now->disk.self.node != run.leader;
      },
      Milliseconds(500));
  CHECK(moved);
  CHECK(run.cluster.failure() == "");
}

TEST_CASE("a replica with an outdated folder is detected and halted") {
  // Guards against accepted changes that are lost when a VM is restored from an
  // old image. A follower acknowledges entries and returns without them while
  // the leader that counted the acknowledgements still leads. The folder keeps
  // its identity, so its votes would still count.
  ElectedCluster run(3);
  FakeNode& follower = run.cluster.node(run.others[0].value());
  const FakeDisk old_image = follower.disk;
  for (int i = 0; i < 5; ++i) {
    run.cluster.ProposeTo(run.leader);
  }
  run.cluster.Run(Seconds(1));
  run.cluster.Crash(run.others[0]);
  follower.disk = old_image;
  run.cluster.Start(run.others[0]);
  run.cluster.Run(Seconds(3));
  CHECK(follower.halted);
  CHECK(run.cluster.leader()->disk.self.node == run.leader);
}

TEST_CASE("proposals beyond the limit of pending ones are refused") {
  ReplicaOptions options;
  options.max_pending_proposals = 4;
  ElectedCluster run(3, options);
  std::vector<RequestTicket> tickets;
  tickets.reserve(6);
  for (int i = 0; i < 6; ++i) {
    tickets.push_back(run.cluster.ProposeTo(run.leader));
  }
  CHECK(std::holds_alternative<Busy>(
      run.cluster.outcomes().at(tickets.back()).result));
  run.cluster.Run(Seconds(1));
  CHECK(run.cluster.IsAccepted(tickets.front()));
}

}  // namespace
}  // namespace bilberryspool::consensus
