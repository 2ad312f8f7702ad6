// Simulates many gateways with targets that ask for pauses, over many seeds.

#include <doctest/doctest.h>

#include "auto/limits/seeds.h"
#include "auto/traffic/pause_world.h"

namespace bilberryspool::traffic {
namespace {

// Guards against a target that refuses everything being the first choice of all
// gateways, since it has the fewest requests.
TEST_CASE("a target gets no requests in its pause, and others serve them") {
  struct Row {
    std::size_t gateways;
    std::size_t targets;
    std::size_t refusing;
    double requests_per_s;
  };
  const Row rows[] = {{7, 16, 5, 85.0},
                      {7, 16, 15, 10.0},
                      {40, 72, 20, 400.0},
                      {149, 192, 60, 1000.0}};
  for (const Row& row : rows) {
    CAPTURE(row.gateways);
    CAPTURE(row.refusing);
    PauseWorldOptions options;
    options.gateways = row.gateways;
    options.targets = row.targets;
    options.refusing = row.refusing;
    options.requests_per_s = row.requests_per_s;
    options.min_pause = Milliseconds(200);
    options.max_pause = Seconds(6);
    ForEachSeed(row.gateways < 100 ? 4 : 1, [&](std::uint64_t seed) {
      CAPTURE(seed);
      const PauseWorldResult result = PauseWorld(options, seed).Run();
      CHECK(result.arrivals_in_pause == 0);
      CHECK(result.refused_while_free == 0);
      CHECK(result.served + result.refused == result.requests);
    });
  }
}

// Guards against requests that are sent to a paused target because no other one
// is left.
TEST_CASE("if all targets are paused, callers are refused") {
  PauseWorldOptions options;
  options.refusing = options.targets;
  ForEachSeed(6, [&](std::uint64_t seed) {
    CAPTURE(seed);
    const PauseWorldResult result = PauseWorld(options, seed).Run();
    CHECK(result.arrivals_in_pause == 0);
    CHECK(result.refused_while_free == 0);
    CHECK(result.refused > 0);
  });
}

}  // namespace
}  // namespace bilberryspool::traffic
