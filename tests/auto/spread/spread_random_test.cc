#include <doctest/doctest.h>

#include <cstdlib>

#include "auto/spread/fake_nodes.h"

namespace bilberryspool::spread {
namespace {

int SeedCount(int usual) {
  const char* seeds = std::getenv("BILBERRYSPOOL_SEEDS");
  return seeds == nullptr ? usual : std::atoi(seeds);
}

void InjectFault(FakeNodes* nodes) {
  Random& random = nodes->random();
  const std::string& name =
      nodes->names()[1 + random.Below(nodes->names().size() - 1)];
  const std::string from = "d" + std::to_string(random.Below(3));
  const std::string to = "d" + std::to_string(random.Below(3));
  switch (random.Below(6)) {
    case 0:
      nodes->Cut(from, to);
      break;
    case 1:
      nodes->Heal();
      break;
    case 2:
      nodes->Restart(name);
      break;
    case 3:
      nodes->Freeze(name, random.Between(Milliseconds(100), Seconds(10)));
      break;
    case 4:
      nodes->Stop(name);
      break;
    default:
      nodes->corrupt_next_at = name;
      break;
  }
}

void RunScenario(std::uint64_t seed) {
  CAPTURE(seed);
  FakeNodes nodes(3, 4, 8, seed);
  nodes.faults = {0.1, 0.1, Milliseconds(400)};
  for (int step = 0; step < 40; ++step) {
    InjectFault(&nodes);
    const std::uint64_t changes = nodes.random().Below(4);
    for (std::uint64_t i = 0; i < changes; ++i) {
      nodes.Accept();
    }
    nodes.Run(nodes.random().Between(Milliseconds(50), Seconds(2)));
  }
  nodes.Heal();
  for (const std::string& name : nodes.names()) {
    if (!nodes.IsRunning(name)) {
      nodes.Restart(name);
    }
  }
  nodes.Run(Seconds(20));
  CHECK(nodes.Lagging() == std::vector<std::string>());
  CHECK_FALSE(nodes.version_decreased);
  CHECK(nodes.divergences == 0);
  const Coverage coverage =
      nodes.node(nodes.leader()).coverage(nodes.accepted(), nodes.now());
  CHECK(coverage.nodes == nodes.names().size());
}

TEST_CASE("random faults: versions never go back, and all converge") {
  const int count = SeedCount(40);
  for (int seed = 1; seed <= count; ++seed) {
    RunScenario(static_cast<std::uint64_t>(seed));
  }
}

}  // namespace
}  // namespace bilberryspool::spread
