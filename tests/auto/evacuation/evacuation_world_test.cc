// Evacuations under cuts, restarts and repeated orders: replicas apply one log
// with delays, gateways hear of any of them.

#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "libs/base/random.h"
#include "libs/evacuation/evacuation_registry.h"
#include "libs/evacuation/evacuation_view.h"

namespace bilberryspool::evacuation {
namespace {

const FailureDomain kDomain("north");
constexpr std::size_t kReplicas = 5;

class World {
 public:
  World(std::size_t gateways, std::uint64_t seed)
      : random_(seed),
        replicas_(kReplicas),
        applied_(kReplicas, 0),
        gateways_(gateways) {}

  // An operator sends an order through a random replica until it is
  // acknowledged.
  void Order(bool is_evacuated) {
    const std::size_t node = Pick(kReplicas);
    std::uint64_t expected = replicas_[node].RevisionOf(kDomain);
    // Copies that a lost answer has left on their way.
    late_.push_back({kDomain, is_evacuated, expected});
    EvacuationRegistry leader = Committed();
    while (leader.IsEvacuated(kDomain) != is_evacuated) {
      expected = leader.RevisionOf(kDomain);
      log_.push_back({kDomain, is_evacuated, expected});
      leader = Committed();
    }
  }

  void Step() {
    const std::size_t node = Pick(kReplicas);
    if (applied_[node] < log_.size() && random_.Fraction() < 0.5) {
      replicas_[node].Apply(log_[applied_[node]++]);
    }
    if (random_.Fraction() < 0.05) {  // restarts and reads the log again
      replicas_[node] = EvacuationRegistry();
      applied_[node] = 0;
    }
    if (!late_.empty() && random_.Fraction() < 0.2) {
      log_.push_back(late_[Pick(late_.size())]);
    }
    gateways_[Pick(gateways_.size())].OnReported(
        replicas_[Pick(kReplicas)].state());
  }

  // All replicas apply the log and all gateways hear of one of them.
  void Settle() {
    for (std::size_t node = 0; node < kReplicas; ++node) {
      while (applied_[node] < log_.size()) {
        replicas_[node].Apply(log_[applied_[node]++]);
      }
    }
    for (EvacuationView& gateway : gateways_) {
      gateway.OnReported(replicas_[Pick(kReplicas)].state());
    }
  }

  std::size_t CountEvacuated() const {
    std::size_t count = 0;
    for (const EvacuationView& gateway : gateways_) {
      count += gateway.IsEvacuated(kDomain) ? 1 : 0;
    }
    return count;
  }

 private:
  std::size_t Pick(std::size_t count) {
    return static_cast<std::size_t>(random_.Fraction() *
                                    static_cast<double>(count));
  }
  EvacuationRegistry Committed() const {
    EvacuationRegistry registry;
    for (const EvacuationChange& change : log_) {
      registry.Apply(change);
    }
    return registry;
  }

  Random random_;
  std::vector<EvacuationChange> log_;
  std::vector<EvacuationChange> late_;
  std::vector<EvacuationRegistry> replicas_;
  std::vector<std::size_t> applied_;
  std::vector<EvacuationView> gateways_;
};

// Guards against gateways that disagree about an acknowledged order after
// restarts, lagging replicas and repeated orders.
TEST_CASE("all gateways follow the last acknowledged order") {
  for (const std::size_t gateways : {7, 40, 74, 149}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(gateways);
      CAPTURE(seed);
      World world(gateways, seed);
      for (int order = 0; order < 6; ++order) {
        const bool is_evacuated = order % 2 == 0;
        world.Order(is_evacuated);
        for (int step = 0; step < 200; ++step) {
          world.Step();
        }
        world.Settle();
        CHECK(world.CountEvacuated() == (is_evacuated ? gateways : 0));
      }
    }
  }
}

}  // namespace
}  // namespace bilberryspool::evacuation
