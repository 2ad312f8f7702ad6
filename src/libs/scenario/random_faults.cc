#include "libs/scenario/random_faults.h"

#include <string>

namespace bilberryspool::scenario {
namespace {

constexpr std::uint64_t kWorkspaces = 4;
constexpr std::uint64_t kRequestIds = 40;

template <typename Item>
const Item& Pick(const std::vector<Item>& items, Random& random) {
  return items[random.Below(items.size())];
}

void CutRandomly(World& world, Random& random) {
  const NodeId first = Pick(world.nodes(), random);
  const bool is_whole = random.Chance(0.5);
  const bool is_one_way = random.Chance(0.3);
  for (const NodeId& other : world.nodes()) {
    if (other == first || !(is_whole || random.Chance(0.3))) {
      continue;
    }
    world.network().Cut(first, other);
    if (!is_one_way) {
      world.network().Cut(other, first);
    }
  }
}

void DegradeLinks(World& world, Random& random) {
  LinkConditions& links = world.network().conditions();
  links.loss = random.Chance(0.5) ? random.Fraction() * 0.2 : 0;
  links.duplication = random.Chance(0.5) ? random.Fraction() * 0.2 : 0;
  links.max_delay =
      random.Between(Milliseconds(1),
                     random.Chance(0.5) ? Milliseconds(5) : Milliseconds(300));
}

void InjectFault(World& world, Random& random) {
  enum Fault { kKill, kRestart, kFreeze, kThaw, kCut, kHeal, kLinks, kCount };
  const NodeId node = Pick(world.nodes(), random);
  switch (random.Below(kCount)) {
    case kKill:
      return world.Kill(node);
    case kRestart:
      for (const NodeId& each : world.nodes()) {
        world.Restart(each);
      }
      return;
    case kFreeze:
      return world.Freeze(node);
    case kThaw:
      for (const NodeId& each : world.nodes()) {
        world.network().Thaw(each);
      }
      return;
    case kCut:
      return CutRandomly(world, random);
    case kHeal:
      return world.network().Heal();
    default:
      return DegradeLinks(world, random);
  }
}

void SubmitRandomOrder(World& world, Random& random, std::size_t count) {
  const std::string name = "w" + std::to_string(random.Below(kWorkspaces));
  std::string text = "declare workspace " + name + " requests " +
                     std::to_string(1 + random.Below(100));
  if (random.Chance(0.3)) {
    text += " at version " +
            std::to_string(world.checks().latest_reported_version().value());
  }
  // Some orders are submitted twice, as an operator does after a lost answer.
  text += " as \"order-" + std::to_string(count) + "\"";
  const std::size_t sends = random.Chance(0.3) ? 2 : 1;
  for (std::size_t i = 0; i < sends; ++i) {
    world.SubmitOrder("operator", Pick(world.entries(), random), text);
  }
}

void SendRandomRequest(World& world, Random& random, bool idempotent) {
  const std::string id = (idempotent ? "question-" : "order-") +
                         std::to_string(random.Below(kRequestIds));
  world.Send({RequestId(id), ServiceId("drafter"), idempotent},
             Pick(world.entries(), random));
}

}  // namespace

void RunRandomFaults(World& world, const RandomFaults& faults) {
  FakeNetwork& network = world.network();
  Random random(network.random().engine()());
  const TimePoint end = network.now() + faults.duration;
  std::size_t orders = 0;
  while (network.now() < end && !world.verdict().failed()) {
    if (random.Chance(0.15)) {
      InjectFault(world, random);
    }
    if (random.Chance(0.1)) {
      SubmitRandomOrder(world, random, ++orders);
    }
    SendRandomRequest(world, random, random.Chance(0.3));
    const Duration pause = random.Between(Milliseconds(10), Milliseconds(300));
    world.RunUntil(network.now() + pause, [] { return false; });
  }
  network.conditions() = LinkConditions{};
  network.Heal();
  for (const NodeId& node : world.nodes()) {
    network.Thaw(node);
    world.Restart(node);
  }
}

}  // namespace bilberryspool::scenario
