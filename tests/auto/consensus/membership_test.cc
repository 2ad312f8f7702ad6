// Tests bootstrap, replacement, growth and forced recovery.

#include <doctest/doctest.h>

#include "auto/consensus/fake_cluster.h"
#include "libs/consensus/recovery.h"

namespace bilberryspool::consensus {
namespace {

MemberId Member(const std::string& node, std::uint64_t identity) {
  return {NodeId(node), ReplicaIdentity(identity)};
}

const Membership& MembershipOf(FakeCluster& cluster) {
  return cluster.leader()->replica->log().membership();
}

bool IsRepaired(FakeCluster& cluster) {
  if (cluster.leader() == nullptr || MembershipOf(cluster).is_joint()) {
    return false;
  }
  for (const MemberId& voter : MembershipOf(cluster).voters) {
    if (cluster.nodes().at(voter.node).disk.self != voter) {
      return false;
    }
  }
  return MembershipOf(cluster).learners.empty();
}

void Repair(FakeCluster& cluster) {
  for (int i = 0; i < 20 && !IsRepaired(cluster); ++i) {
    cluster.Run(Seconds(1));
    cluster.RepairMembership();
  }
  CHECK(IsRepaired(cluster));
}

void CheckAccepts(FakeCluster& cluster) {
  cluster.Run(Seconds(4));
  REQUIRE(cluster.leader() != nullptr);
  const RequestTicket ticket =
      cluster.ProposeTo(cluster.leader()->disk.self.node);
  cluster.Run(Seconds(1));
  CHECK(cluster.IsAccepted(ticket));
  CHECK(cluster.failure() == "");
}

TEST_CASE("a log is created only if every initial voter is reachable and new") {
  FakeCluster cluster(3, ReplicaOptions{}, 1);
  cluster.Crash(NodeId("c"));
  cluster.Run(Seconds(20));
  CHECK(cluster.node("a").replica->is_blank());
  CHECK(cluster.node("b").replica->is_blank());
  cluster.Start(NodeId("c"));
  CheckAccepts(cluster);
}

TEST_CASE("voters with different lists of initial voters create no log") {
  ReplicaOptions options;
  options.initial_voters = {NodeId("a"), NodeId("b")};
  Bootstrap bootstrap(options, Member("a", 1));
  CHECK(bootstrap.NextHelloRecipients(TimePoint{}).size() == 1);
  bootstrap.NoteReply(Member("b", 2), {1, true, {NodeId("b"), NodeId("c")}});
  CHECK_FALSE(bootstrap.InitialMembership());
  bootstrap.NoteReply(Member("b", 2), {1, true, options.initial_voters});
  CHECK(bootstrap.InitialMembership());
  bootstrap.NoteReply(Member("c", 3), {1, false, {}});
  CHECK_FALSE(bootstrap.InitialMembership());
}

// Guards against Hello messages to every node that was ever a member.
TEST_CASE("peers that are no longer reported get no Hello") {
  ReplicaOptions options;
  options.hello_interval = Milliseconds(200);
  options.known_peers = {NodeId("b")};
  Bootstrap bootstrap(options, Member("a", 1));
  TimePoint now;
  bootstrap.AddPeers({NodeId("a"), NodeId("c"), NodeId("d")}, now);
  CHECK(bootstrap.NextHelloRecipients(now) ==
        std::vector<NodeId>{NodeId("b"), NodeId("c"), NodeId("d")});
  now += Seconds(8);
  bootstrap.AddPeers({NodeId("d")}, now);
  now += Seconds(8);
  CHECK(bootstrap.NextHelloRecipients(now) ==
        std::vector<NodeId>{NodeId("b"), NodeId("d")});
  now += Seconds(8);
  CHECK(bootstrap.NextHelloRecipients(now) == std::vector<NodeId>{NodeId("b")});
}

TEST_CASE("a new folder in an existing deployment creates no second log") {
  // Guards against two deployments that answer after a disk was replaced. The
  // first initial voter loses its disk while the others are unreachable and
  // returns with the same settings; its new folder looks like that of a new
  // deployment.
  FakeCluster cluster(3, ReplicaOptions{}, 1);
  CheckAccepts(cluster);
  cluster.LoseDisk(NodeId("a"));
  cluster.Isolate(NodeId("a"));
  cluster.Run(Seconds(20));
  CHECK(cluster.node("a").replica->is_blank());
  cluster.HealNetwork();
  cluster.Run(Seconds(20));
  CHECK(cluster.node("a").replica->is_blank());
  Repair(cluster);
  CheckAccepts(cluster);
}

TEST_CASE("a second VM may be lost right after a repair") {
  // Guards against lost accepted changes, or a log that accepts nothing. A disk
  // is lost and replaced; as soon as the replacement votes, the disk of another
  // voter is lost, and so on around the cluster. It fails if a replacement
  // counts as a voter before it has all accepted entries.
  for (const int size : {3, 5}) {
    FakeCluster cluster(size, ReplicaOptions{}, 3);
    CheckAccepts(cluster);
    for (int round = 0; round < 10; ++round) {
      const std::string name(1, static_cast<char>('a' + round % size));
      REQUIRE(cluster.CanLoseDisk(NodeId(name)));
      cluster.LoseDisk(NodeId(name));
      CheckAccepts(cluster);
      Repair(cluster);
    }
    CheckAccepts(cluster);
  }
}

TEST_CASE("a second VM may be lost during a repair") {
  // Guards against a repair that never ends, or a quorum that counts a lost
  // folder. The replacement loses its disk while it is a learner; with five
  // voters a second voter's disk is lost as well. It fails if a replacement in
  // progress can't be aborted.
  for (const int size : {3, 5}) {
    FakeCluster cluster(size, ReplicaOptions{}, 4);
    CheckAccepts(cluster);
    cluster.LoseDisk(NodeId("b"));
    cluster.RunUntil([&] { return cluster.leader() != nullptr; }, Seconds(9));
    cluster.RunUntil(
        [&] {
          cluster.RepairMembership();
          return cluster.leader() == nullptr ||
                 !MembershipOf(cluster).learners.empty();
        },
        Seconds(9));
    cluster.LoseDisk(NodeId("b"));
    if (size == 5) {
      REQUIRE(cluster.CanLoseDisk(NodeId("c")));
      cluster.LoseDisk(NodeId("c"));
    }
    CheckAccepts(cluster);
    Repair(cluster);
    CheckAccepts(cluster);
  }
}

TEST_CASE("a replacement gets no vote before it has caught up") {
  // Guards against a log that stops after one more loss although a majority is
  // healthy. A replacement is admitted over a slow link and responds long
  // before it has the log; if it had a vote, the quorum would depend on a voter
  // that lacks most entries.
  ReplicaOptions options;
  options.max_batch_bytes = 1;
  options.max_inflight_appends = 1;
  FakeCluster cluster(3, options, 4);
  CheckAccepts(cluster);
  const NodeId leader = cluster.leader()->disk.self.node;
  for (int i = 0; i < 300; ++i) {
    cluster.ProposeTo(leader);
  }
  cluster.Run(Seconds(10));
  const NodeId lost(leader == NodeId("a") ? "b" : "a");
  const MemberId old = cluster.nodes().at(lost).disk.self;
  cluster.LoseDisk(lost);
  cluster.Run(Seconds(2));
  cluster.faults().delay_min = Milliseconds(20);
  cluster.faults().delay_max = Milliseconds(20);
  cluster.RepairMembership();
  cluster.Run(Seconds(3));
  CHECK(cluster.nodes().at(lost).applied > LogIndex(10));
  CHECK(MembershipOf(cluster).learners.size() == 1);
  CHECK(MembershipOf(cluster).IsVoter(old));
  cluster.Run(Seconds(30));
  Repair(cluster);
  CHECK_FALSE(MembershipOf(cluster).Contains(old));
}

TEST_CASE("the old identity of a replaced replica neither votes nor counts") {
  FakeCluster cluster(3, ReplicaOptions{}, 5);
  CheckAccepts(cluster);
  const MemberId old = cluster.node("b").disk.self;
  cluster.LoseDisk(NodeId("b"));
  Replica& replica = *cluster.node("b").replica;
  const auto actions = replica.Handle(
      MessageReceived{{cluster.node("a").disk.self, old, ClusterId(1),
                       RecoveryEpoch(0), Term(99), Vote{}}},
      cluster.now());
  CHECK(actions.empty());
  CHECK(replica.term() == Term(0));
}

TEST_CASE(
    "a cluster grows by learners and shrinks when its leader is removed") {
  FakeCluster cluster(3, ReplicaOptions{}, 6);
  cluster.AddNode("d");
  cluster.AddNode("e");
  CheckAccepts(cluster);
  for (const std::string name : {"d", "e"}) {
    const MemberId id = cluster.node(name).disk.self;
    const auto change = [&](MembershipChange what) {
      const RequestTicket ticket =
          cluster.ChangeAt(cluster.leader()->disk.self.node, std::move(what));
      cluster.Run(Seconds(2));
      return cluster.IsAccepted(ticket);
    };
    const FakeNode& leader = *cluster.leader();
    CHECK(leader.replica->awaiting_admission(cluster.LocalTime(leader))
              .at(NodeId(name)) == id);
    CHECK(change(AddLearner{id}));
    CHECK(change(PromoteLearner{id}));
  }
  CHECK(MembershipOf(cluster).voters.size() == 5);
  const MemberId removed = cluster.leader()->disk.self;
  cluster.ChangeAt(removed.node, RemoveMember{removed});
  CheckAccepts(cluster);
  CHECK(MembershipOf(cluster).voters.size() == 4);
  CHECK(cluster.leader()->disk.self != removed);
}

TEST_CASE("impossible membership changes are refused") {
  const MemberId a = Member("a", 1);
  const MemberId b = Member("b", 2);
  const MemberId c = Member("c", 3);
  const MemberId d = Member("d", 4);
  const Membership plain{{a, b, c}, {}, {}};
  const Membership joint{{a, b, d}, {a, b, c}, {}};
  const Membership replacing{{a, b, c}, {}, {{d, c}}};
  struct Row {
    Membership current;
    MembershipChange change;
    RefusalReason reason;
  };
  const Row rows[] = {
      {plain, AddLearner{Member("a", 9)}, RefusalReason::kAlreadyMember},
      {plain, PromoteLearner{d}, RefusalReason::kUnknownMember},
      {plain, ReplaceVoter{d, a}, RefusalReason::kUnknownMember},
      {plain, ReplaceVoter{a, b}, RefusalReason::kAlreadyMember},
      {plain, RemoveMember{d}, RefusalReason::kUnknownMember},
      {joint, RemoveMember{a}, RefusalReason::kChangeInProgress},
      {replacing, ReplaceVoter{b, Member("e", 5)},
       RefusalReason::kChangeInProgress},
      {replacing, RemoveMember{b}, RefusalReason::kChangeInProgress},
      {{{a}, {}, {}}, RemoveMember{a}, RefusalReason::kWouldLoseQuorum}};
  for (const Row& row : rows) {
    const auto result = NextMembership(row.current, row.change);
    const auto* reason = std::get_if<RefusalReason>(&result);
    REQUIRE(reason != nullptr);
    CHECK(*reason == row.reason);
  }
}

TEST_CASE("a voter is not removed if the remaining ones would have no quorum") {
  FakeCluster cluster(3, ReplicaOptions{}, 7);
  CheckAccepts(cluster);
  const MemberId leader = cluster.leader()->disk.self;
  std::vector<MemberId> others;
  for (const MemberId& voter : MembershipOf(cluster).voters) {
    if (voter != leader) {
      others.push_back(voter);
    }
  }
  cluster.Crash(others[0].node);
  cluster.Run(Seconds(5));
  const RequestTicket ticket =
      cluster.ChangeAt(leader.node, RemoveMember{others[1]});
  const auto& result = cluster.outcomes().at(ticket).result;
  REQUIRE(std::holds_alternative<Refused>(result));
  CHECK(std::get<Refused>(result).reason == RefusalReason::kWouldLoseQuorum);
}

TEST_CASE("a replica that missed hundreds of entries gets a snapshot") {
  ReplicaOptions options;
  options.retained_entries = 5;
  options.snapshot_chunk_bytes = 100;
  FakeCluster cluster(3, options, 8);
  CheckAccepts(cluster);
  const NodeId leader = cluster.leader()->disk.self.node;
  const NodeId late(leader == NodeId("a") ? "b" : "a");
  cluster.Crash(late);
  for (int i = 0; i < 300; ++i) {
    cluster.ProposeTo(leader);
    cluster.Run(Milliseconds(5));
  }
  cluster.Run(Seconds(1));
  cluster.TakeSnapshot(leader);
  cluster.Run(Seconds(1));
  CHECK(cluster.nodes().at(leader).disk.entries.size() < 10);
  cluster.Start(late);
  CheckAccepts(cluster);
  CHECK(cluster.nodes().at(late).applied >= LogIndex(300));
}

TEST_CASE("a forced configuration ends the epoch of the other replicas") {
  // Guards against a log that stays unusable after the loss of a majority. Two
  // of three disks are lost, so that the rest can't form a quorum, and the
  // operator forces a configuration on the last folder. A replica of the
  // earlier epoch that returns later must not rejoin.
  FakeCluster cluster(3, ReplicaOptions{}, 9);
  CheckAccepts(cluster);
  cluster.Crash(NodeId("b"));
  cluster.Crash(NodeId("c"));
  cluster.Crash(NodeId("a"));
  FakeDisk& disk = cluster.node("a").disk;
  const RecoveredState state{disk.self, disk.hard_state, disk.snapshot,
                             disk.entries};
  const auto refused = ForceNewConfiguration(state, "yes");
  CHECK(std::get<ForceRefusal>(refused) == ForceRefusal::kNotConfirmed);
  const auto forced = ForceNewConfiguration(state, "a recovery epoch 1");
  REQUIRE(std::holds_alternative<ForcedConfiguration>(forced));
  disk.hard_state = std::get<ForcedConfiguration>(forced).hard_state;
  disk.entries.push_back(std::get<ForcedConfiguration>(forced).entry);
  cluster.Start(NodeId("a"));
  CheckAccepts(cluster);
  CHECK(MembershipOf(cluster).voters.size() == 1);
  cluster.Start(NodeId("b"));
  cluster.Run(Seconds(10));
  CHECK(cluster.node("b").halted);
  CHECK(cluster.leader()->disk.self.node == NodeId("a"));
  cluster.LoseDisk(NodeId("b"));
  cluster.Run(Seconds(2));
  cluster.ChangeAt(NodeId("a"), AddLearner{cluster.node("b").disk.self});
  CheckAccepts(cluster);
  CHECK(cluster.node("b").applied == cluster.node("a").applied);
}

}  // namespace
}  // namespace bilberryspool::consensus
