// Randomised runs of controllers and ranks under faults.

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "auto/groups/group_world.h"

namespace bilberryspool::groups {
namespace {

std::uint64_t SeedCount(std::uint64_t usual) {
  const char* wished = std::getenv("BILBERRYSPOOL_SEEDS");
  return wished == nullptr ? usual : std::strtoull(wished, nullptr, 10);
}

void InjectFault(GroupWorld& world, std::uint32_t ranks) {
  const auto rank = static_cast<std::uint32_t>(world.random().Below(ranks));
  const auto domain =
      static_cast<std::uint32_t>(world.random().Below(GroupWorld::kDomains));
  const Duration span = world.random().Between(Milliseconds(10), Seconds(4));
  switch (world.random().Below(7)) {
    case 0:
      world.RestartRank(rank);
      break;
    case 1:
      world.FreezeRank(rank, span);
      break;
    case 2:
      world.FreezeController(domain, span);
      break;
    case 3:
      world.CutDomain(domain, true);
      break;
    case 4:
      world.CutDomain(domain, false);
      break;
    case 5:
      world.SetEngineStuck(rank, world.random().Chance(0.5));
      break;
    default:
      world.ChooseRandomMap();
      break;
  }
}

TEST_CASE("all ranks use one map in every step, whatever fails") {
  const std::uint64_t seeds = SeedCount(300);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    WorldOptions options;
    options.ranks = 3 + static_cast<std::uint32_t>(seed % 5);
    options.experts = options.ranks;
    options.loss = 0.02;
    options.duplicated = 0.02;
    options.long_delay = 0.01;
    options.fetch_failure = 0.1;
    GroupWorld world(options, seed);
    for (int i = 0; i < 40; ++i) {
      InjectFault(world, options.ranks);
      world.RunFor(world.random().Between(Milliseconds(5), Milliseconds(800)));
    }
    world.StopFaults();
    for (std::uint32_t i = 0; i < GroupWorld::kDomains; ++i) {
      world.CutDomain(i, false);
    }
    for (std::uint32_t i = 0; i < options.ranks; ++i) {
      world.SetEngineStuck(i, false);
    }
    CHECK(world.RunUntilComplete(Seconds(40)));
    const std::size_t done = world.steps_done();
    world.RunFor(Seconds(1));
    CHECK(world.steps_done() > done + 20);
    REQUIRE_MESSAGE(world.violations().empty(), world.violations().front());
  }
}

}  // namespace
}  // namespace bilberryspool::groups
