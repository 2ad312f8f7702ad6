// Randomised runs with message loss, delay, duplication and reordering, one-way
// partitions, freezes, clock drift, crashes between write and sync, and lost
// disks. BILBERRYSPOOL_SEEDS is the number of seeds for each cluster size.

#include <cstdlib>
#include <stdexcept>

#include <doctest/doctest.h>

#include "auto/consensus/fake_cluster.h"
#include "libs/base/check.h"

namespace bilberryspool::consensus {
namespace {

constexpr std::uint64_t kSeedsInCi = 150;

std::uint64_t SeedCount() {
  const char* text = std::getenv("BILBERRYSPOOL_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : kSeedsInCi;
}

void ThrowBrokenInvariant(std::string_view what,
                          const char* /*file*/,
                          int /*line*/) {
  throw std::logic_error(std::string(what));
}

ReplicaOptions SmallOptions(std::uint64_t seed) {
  ReplicaOptions options;
  // A narrow range of timeouts starts elections as early as allowed.
  const Duration spans[] = {Milliseconds(50), Milliseconds(300), Seconds(1)};
  options.election_timeout_max =
      options.election_timeout_min + spans[seed % std::size(spans)];
  options.max_batch_bytes = 120;
  options.max_inflight_appends = 3;
  options.snapshot_chunk_bytes = 128;
  options.retained_entries = 3;
  return options;
}

const NodeId& AnyNode(FakeCluster& cluster) {
  auto it = cluster.nodes().begin();
  std::advance(it, static_cast<std::ptrdiff_t>(
                       cluster.random().Below(cluster.nodes().size())));
  return it->first;
}

void SetFaults(FakeCluster& cluster) {
  Random& random = cluster.random();
  cluster.HealNetwork();
  NetworkFaults& faults = cluster.faults();
  faults.loss = random.Chance(0.5) ? random.Fraction() * 0.3 : 0;
  faults.duplication = random.Chance(0.5) ? random.Fraction() * 0.3 : 0;
  const Duration delays[] = {Milliseconds(2), Milliseconds(30),
                             Milliseconds(400)};
  faults.delay_max = delays[random.Below(std::size(delays))];
  faults.sync_max = random.Between(Milliseconds(1), Milliseconds(200));
  if (random.Chance(0.3)) {
    cluster.Isolate(AnyNode(cluster));
  }
  if (random.Chance(0.5)) {
    const FakeNode* leader = cluster.leader();
    const bool from_leader = leader != nullptr && random.Chance(0.5);
    cluster.Cut(from_leader ? leader->disk.self.node : AnyNode(cluster),
                AnyNode(cluster));
  }
}

void InjectRandomFault(FakeCluster& cluster) {
  const NodeId id = AnyNode(cluster);
  Random& random = cluster.random();
  switch (random.Below(12)) {
    case 0:
    case 1:
      cluster.CrashWhileSyncing(id, random.Chance(0.3));
      if (random.Chance(0.5)) {
        cluster.Start(id);
      }
      break;
    case 2:
    case 3:
    case 4:
      for (auto& [each, node] : cluster.nodes()) {
        cluster.Start(each);
      }
      break;
    case 5:
      cluster.Freeze(id, random.Between(Milliseconds(10), Seconds(4)));
      break;
    case 6:
    case 7:
      SetFaults(cluster);
      break;
    case 8:
      if (cluster.CanLoseDisk(id)) {
        cluster.LoseDisk(id);
      }
      break;
    case 9:
      cluster.TakeSnapshot(id);
      break;
    case 10:
      cluster.RepairMembership();
      break;
    default:
      if (random.Chance(0.3)) {
        cluster.Deliver(id, TransferLeadership{});
      }
  }
}

void EndFaults(FakeCluster& cluster) {
  cluster.HealNetwork();
  for (auto& [id, node] : cluster.nodes()) {
    cluster.Start(id);
    cluster.Freeze(id, Duration(0));
  }
}

// Checks that the cluster recovers after the faults have ended.
void CheckRecovery(FakeCluster& cluster) {
  EndFaults(cluster);
  for (int i = 0; i < 20; ++i) {
    cluster.Run(Seconds(1));
    cluster.RepairMembership();
  }
  FakeNode* const leader = cluster.leader();
  if (leader == nullptr) {
    cluster.Fail("no leader after the faults");
    return;
  }
  const RequestTicket ticket = cluster.ProposeTo(leader->disk.self.node);
  cluster.Run(Seconds(2));
  if (!cluster.IsAccepted(ticket)) {
    cluster.Fail("nothing is accepted after the faults");
  }
  const Membership& membership = leader->replica->log().membership();
  for (const auto& [id, node] : cluster.nodes()) {
    if (!membership.IsVoter(node.disk.self)) {
      cluster.Fail("a lost voter was not replaced");
    }
    if (node.applied != leader->applied || node.state != leader->state) {
      cluster.Fail("a replica did not catch up");
    }
  }
}

void RunSeed(int size, std::uint64_t seed) {
  FakeCluster cluster(size, SmallOptions(seed), seed);
  INFO("size " << size << ", seed " << seed);
  try {
    cluster.Run(Seconds(3));
    for (int step = 0; step < 120 && cluster.failure().empty(); ++step) {
      const Duration pause =
          cluster.random().Between(Milliseconds(1), Milliseconds(500));
      cluster.Run(pause);
      // Periods without new entries leave all logs up to date, so that more
      // replicas can win an election.
      const std::uint64_t load = step % 40 < 20 ? 4 : 0;
      for (std::uint64_t i = cluster.random().Below(load); i > 0; --i) {
        FakeNode* const leader = cluster.leader();
        const NodeId target = leader != nullptr && cluster.random().Chance(0.8)
                                  ? leader->disk.self.node
                                  : AnyNode(cluster);
        cluster.ProposeTo(target);
        cluster.ReadFrom(target);
      }
      if (cluster.random().Chance(0.6)) {
        InjectRandomFault(cluster);
      }
    }
    CheckRecovery(cluster);
  } catch (const std::logic_error& broken) {
    cluster.Fail(broken.what());
  }
  CHECK(cluster.failure() == "");
}

TEST_CASE("replicas keep all invariants under random faults") {
  // Guards against lost accepted changes and two simultaneous leaders under any
  // mix of faults, often with a new fault before the previous one is repaired.
  // Typical causes: a message sent before the state that it depends on is
  // synced, a vote or lease lost at a restart, a quorum of the wrong voters.
  const InvariantHandler previous = SetInvariantHandler(&ThrowBrokenInvariant);
  const std::uint64_t seeds = SeedCount();
  for (const int size : {3, 5}) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      RunSeed(size, seed);
    }
  }
  SetInvariantHandler(previous);
}

}  // namespace
}  // namespace bilberryspool::consensus
