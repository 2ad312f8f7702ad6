#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "auto/membership/fake_fleet.h"

namespace bilberryspool::membership {
namespace {

int SeedCount(int default_count) {
  const char* seeds = std::getenv("BILBERRYSPOOL_SEEDS");
  return seeds == nullptr ? default_count : std::atoi(seeds);
}

constexpr int kDomains = 3;
constexpr int kEntries = 3;
constexpr int kAgents = 5;

void InjectFault(FakeFleet* fleet) {
  Random& random = fleet->random();
  const int domain = static_cast<int>(random.Below(kDomains));
  const int other = static_cast<int>(random.Below(kDomains));
  const std::string entry =
      FakeFleet::Entry(domain, static_cast<int>(random.Below(kEntries)));
  const std::string agent =
      FakeFleet::Agent(domain, static_cast<int>(random.Below(kAgents)));
  switch (random.Below(7)) {
    case 0:
      fleet->Cut(FakeFleet::Domain(domain), FakeFleet::Domain(other));
      break;
    case 1:
      fleet->Heal();
      break;
    case 2:
      fleet->RestartEntry(entry);
      break;
    case 3:
      fleet->StartAgent(agent, agent, FakeFleet::Domain(domain));
      break;
    case 4:
      fleet->Freeze(entry, random.Between(Seconds(1), Seconds(20)));
      break;
    case 5:
      fleet->Freeze(agent, random.Between(Seconds(1), Seconds(20)));
      break;
    default:
      fleet->StopEntry(entry);
      break;
  }
}

// Checks that the claim and sequence of each target never decrease at an entry
// until it restarts.
class OrderCheck {
 public:
  void CheckEntries(FakeFleet* fleet) {
    for (const std::string& address : fleet->entry_addresses()) {
      const Directory& entry = fleet->entry(address);
      const Incarnation entry_incarnation =
          entry.peers().self().info.incarnation;
      for (const TargetView& view : entry.targets(fleet->now())) {
        auto& seen =
            seen_[{address, entry_incarnation, view.announcement->target}];
        CHECK(view.announcement->order() >= seen);
        seen = view.announcement->order();
      }
    }
  }

 private:
  std::map<std::tuple<std::string, Incarnation, TargetId>,
           std::tuple<Claim, std::uint64_t>>
      seen_;
};

void RunScenario(std::uint64_t seed) {
  CAPTURE(seed);
  FakeFleet fleet(kDomains, kEntries, kAgents, seed);
  fleet.faults = {0.1, 0.1, Microseconds(200), Milliseconds(400)};
  OrderCheck order;
  for (int step = 0; step < 30; ++step) {
    InjectFault(&fleet);
    fleet.Run(fleet.random().Between(Milliseconds(100), Seconds(4)));
    order.CheckEntries(&fleet);
  }
  const std::string leaving = FakeFleet::Agent(0, 0);
  fleet.StartAgent(leaving, leaving, FakeFleet::Domain(0));
  fleet.Heal();
  for (int d = 0; d < kDomains; ++d) {
    for (int e = 0; e < kEntries; ++e) {
      if (!fleet.IsRunning(FakeFleet::Entry(d, e))) {
        fleet.RestartEntry(FakeFleet::Entry(d, e));
      }
    }
  }
  fleet.Run(Seconds(25));
  fleet.SetState(leaving, TargetState::kLeaving);
  fleet.Run(Seconds(5));
  order.CheckEntries(&fleet);
  fleet.faults = {};
  fleet.Run(Seconds(30));
  for (const std::string& entry : fleet.entry_addresses()) {
    CAPTURE(entry);
    CHECK(fleet.ReasonAt(entry, leaving) == OfferReason::kLeaving);
    for (const std::string& agent : fleet.agent_addresses()) {
      CAPTURE(agent);
      CHECK(fleet.LivenessAt(entry, agent) == Liveness::kAlive);
    }
  }
  CHECK(fleet.lost_identities.empty());
}

TEST_CASE("random faults: announcements never go back and entries converge") {
  const int count = SeedCount(40);
  for (int seed = 1; seed <= count; ++seed) {
    RunScenario(static_cast<std::uint64_t>(seed));
  }
}

}  // namespace
}  // namespace bilberryspool::membership
