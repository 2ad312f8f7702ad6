// Simulates many gateways and control nodes with limited targets, over many
// seeds.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "auto/declared_limits/limit_world.h"
#include "auto/limits/seeds.h"

namespace bilberryspool::declared_limits {
namespace {

// Guards against gateways that each use the whole limit: their total must stay
// within it, and the limit must be used where there is demand.
TEST_CASE("all gateways together stay within a target's limit, and use it") {
  for (const std::size_t gateways : {7, 40, 149}) {
    for (const double limit : {0.5, 1.0, 5.0, 50.0}) {
      CAPTURE(gateways);
      CAPTURE(limit);
      LimitWorldOptions options;
      options.gateways = gateways;
      options.limit = limit;
      // A target that gets less load than the others is the first choice of
      // every gateway that may send it one more request.
      options.demand =
          std::max(3.0 * static_cast<double>(gateways), 6.0 * limit);
      ForEachSeed(gateways < 100 ? 6 : 2, [&](std::uint64_t seed) {
        CAPTURE(seed);
        const LimitWorldResult result = LimitWorld(options, seed).Run();
        CHECK(result.max_excess <= 0.0);
        CHECK(result.used > 0.6);
      });
    }
  }
}

// Guards against dividing limits in advance: callers are refused while most of
// each limit is unused, since no gateway has saved up a whole request.
TEST_CASE("nobody is refused while the limits have room") {
  for (const std::size_t gateways : {7, 40, 149}) {
    for (const double skew : {0.0, 0.5, 0.9}) {
      CAPTURE(gateways);
      CAPTURE(skew);
      LimitWorldOptions options;
      options.gateways = gateways;
      options.targets = 12;
      options.limit = 5.0;
      options.demand = 40.0;
      options.skew = skew;
      ForEachSeed(gateways < 100 ? 4 : 2, [&](std::uint64_t seed) {
        CAPTURE(seed);
        const LimitWorldResult result = LimitWorld(options, seed).Run();
        CHECK(result.refused < 0.005);
        CHECK(result.max_excess <= 0.0);
      });
    }
  }
}

TEST_CASE("a limit is used where the demand is there, even or skewed") {
  for (const std::size_t gateways : {7, 40, 149}) {
    for (const double skew : {0.0, 0.9}) {
      for (const double limit : {0.5, 1.0, 5.0, 50.0}) {
        for (const std::size_t targets : {1, 12}) {
          CAPTURE(gateways);
          CAPTURE(skew);
          CAPTURE(limit);
          CAPTURE(targets);
          LimitWorldOptions options;
          options.gateways = gateways;
          options.targets = targets;
          options.limit = limit;
          options.skew = skew;
          options.demand = 2.0 * limit * static_cast<double>(targets) + 1.0;
          ForEachSeed(2, [&](std::uint64_t seed) {
            CAPTURE(seed);
            const LimitWorldResult result = LimitWorld(options, seed).Run();
            CHECK(result.used >= 0.9);
            CHECK(result.max_excess <= 0.0);
          });
        }
      }
    }
  }
}

// Guards against limited targets that stay idle beside unlimited ones.
TEST_CASE("limits of a few targets are used beside unlimited targets") {
  LimitWorldOptions options;
  options.gateways = 24;
  options.targets = 2;
  options.has_others = true;
  options.demand = 72.0;
  ForEachSeed(4, [&](std::uint64_t seed) {
    CAPTURE(seed);
    const LimitWorldResult result = LimitWorld(options, seed).Run();
    CHECK(result.used >= 0.9);
    CHECK(result.max_excess <= 0.0);
  });
}

struct Case {
  std::string name;
  LimitWorldOptions options;
};

std::vector<Case> Cases() {
  std::vector<Case> cases;
  const auto add = [&](const char* name, auto change) {
    Case one{name, LimitWorldOptions{}};
    one.options.limit = 5.0;
    one.options.demand = 60.0;
    change(one.options);
    cases.push_back(one);
  };
  add("limits that change",
      [](LimitWorldOptions& options) { options.changes = 4.0; });
  add("gateways restart",
      [](LimitWorldOptions& options) { options.gateway_restarts = 0.3; });
  add("control nodes restart",
      [](LimitWorldOptions& options) { options.control_restarts = 0.3; });
  add("gateways are cut off",
      [](LimitWorldOptions& options) { options.disconnects = 0.2; });
  add("questions for grants are lost", [](LimitWorldOptions& options) {
    options.lost_grant_requests = 0.3;
    options.targets = 3;
  });
  add("all of it, 40 gateways", [](LimitWorldOptions& options) {
    options.gateways = 40;
    options.changes = 3.0;
    options.gateway_restarts = 0.2;
    options.control_restarts = 0.1;
    options.disconnects = 0.2;
    options.lost_grant_requests = 0.1;
  });
  return cases;
}

TEST_CASE("a limit holds during changes, restarts and disconnects") {
  for (const Case& one : Cases()) {
    CAPTURE(one.name);
    ForEachSeed(20, [&](std::uint64_t seed) {
      CAPTURE(seed);
      CHECK(LimitWorld(one.options, seed).Run().max_excess <= 0.0);
    });
  }
}

}  // namespace
}  // namespace bilberryspool::declared_limits
