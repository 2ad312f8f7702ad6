#include "libs/limits/demand_share.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>

#include "auto/limits/seeds.h"
#include "libs/base/random.h"

namespace bilberryspool::limits {
namespace {

constexpr std::size_t kEntries = 9;
const Workspace kDairy("dairy");

struct Message {
  TimePoint arrives;
  std::size_t from = 0;
  std::size_t to = 0;
  std::vector<WorkspaceDemand> demands;
};

NodeId Node(std::size_t index) {
  return NodeId("e" + std::to_string(index));
}

double SumOfShares(const std::vector<DemandShare>& entries) {
  double sum = 0.0;
  for (const DemandShare& entry : entries) {
    sum += entry.Share(kDairy);
  }
  return sum;
}

// Guards against a workspace that runs at twice its limit for a while. Its
// callers move from some entries to others, and the new ones raise their share
// before the old ones have received the change; this happens if a share follows
// the entry's own demand at once.
TEST_CASE("the shares of all entries stay bounded while demand moves") {
  ForEachSeed(100, [](std::uint64_t seed) {
    CAPTURE(seed);
    Random random(seed);
    const DemandShareOptions options;
    std::vector<DemandShare> entries(kEntries, DemandShare(options));
    std::deque<Message> messages;
    for (std::size_t i = 0; i < kEntries; ++i) {
      for (std::size_t j = 0; j < kEntries; ++j) {
        if (i != j) {
          entries[i].OnPeerDemand(Node(j), {}, TimeAt(Seconds(1)));
        }
      }
    }
    std::size_t busy = 0;
    for (int step = 0; step < 300; ++step) {
      const TimePoint now = TimeAt(Seconds(1) + Milliseconds(100) * step);
      if (random.Chance(0.05)) {
        busy = random.Below(kEntries);
      }
      entries[busy].OnArrival(kDairy, now);
      entries[random.Below(kEntries)].OnArrival(kDairy, now);
      if (step % 5 == 0) {
        for (std::size_t i = 0; i < kEntries; ++i) {
          const auto demands = entries[i].Announce(now);
          for (std::size_t j = 0; j < kEntries; ++j) {
            const Duration way = random.Between(Duration(0), Seconds(1));
            if (i != j && !random.Chance(0.01)) {
              messages.push_back(Message{now + way, i, j, demands});
            }
          }
        }
      }
      for (const Message& message : messages) {
        if (message.arrives > now - Milliseconds(100) &&
            message.arrives <= now) {
          entries[message.to].OnPeerDemand(Node(message.from), message.demands,
                                           now);
        }
      }
      REQUIRE(SumOfShares(entries) <= 1.0 + options.floor + 1e-9);
    }
  });
}

TEST_CASE("callers that all use one entry get the whole limit there") {
  DemandShare entry{DemandShareOptions{}};
  entry.OnPeerDemand(Node(1), {}, TimeAt(Seconds(1)));
  CHECK(entry.Share(kDairy) == doctest::Approx(0.125));
  for (int i = 0; i < 50; ++i) {
    entry.OnArrival(kDairy, TimeAt(Seconds(1) + Milliseconds(100) * i));
    entry.Announce(TimeAt(Seconds(1) + Milliseconds(100) * i));
  }
  CHECK(entry.Share(kDairy) == doctest::Approx(1.0));
}

TEST_CASE("a silent peer keeps its share for a while, a removed one doesn't") {
  DemandShare entry{DemandShareOptions{}};
  const TimePoint start = TimeAt(Seconds(1));
  entry.OnPeerDemand(Node(1), {WorkspaceDemand{kDairy, 5.0}}, start);
  entry.Prune(start + Seconds(29));
  CHECK(entry.peers() == 1);
  entry.Prune(start + Seconds(31));
  CHECK(entry.peers() == 0);
  CHECK(entry.Share(kDairy) == 1.0);
  entry.OnPeerDemand(Node(1), {WorkspaceDemand{kDairy, 5.0}}, start);
  entry.ErasePeer(Node(1));
  CHECK(entry.Share(kDairy) == 1.0);
}

}  // namespace
}  // namespace bilberryspool::limits
