#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/declared_limits/limit_registry.h"

namespace bilberryspool::declared_limits {
namespace {

const TimePoint kNow = TimePoint{} + Seconds(1000);

std::vector<std::string> Gateways(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back("g" + std::to_string(i));
  }
  return names;
}

LimitStatement StatementOf(std::optional<double> per_second,
                           Duration age = Duration::zero(),
                           std::uint64_t incarnation = 1) {
  return {{TargetId("t"), Incarnation(incarnation)}, per_second, age};
}

// Sum of all shares, and the number of gateways that have one.
std::pair<double, int> SumOf(const LimitRegistry& registry, int gateways) {
  double sum = 0.0;
  int holders = 0;
  for (const std::string& name : Gateways(gateways)) {
    for (const LimitShare& share : registry.SharesOf(name)) {
      sum += share.share;
      holders += share.share > 0.0 ? 1 : 0;
    }
  }
  return {sum, holders};
}

TEST_CASE("the shares of a few gateways add up to the limit") {
  struct Case {
    int gateways;
    double limit;
    int holders;
  };
  for (const Case& one : std::vector<Case>{{7, 0.5, 3},
                                           {7, 1.0, 4},
                                           {7, 50.0, 7},
                                           {40, 1.0, 4},
                                           {149, 5.0, 8},
                                           {149, 50.0, 53},
                                           {1, 0.5, 1}}) {
    CAPTURE(one.gateways);
    CAPTURE(one.limit);
    LimitRegistry registry{LimitRegistryOptions{}};
    registry.SetGateways(Gateways(one.gateways));
    CHECK(registry.Note(StatementOf(one.limit), kNow));
    const auto [sum, holders] = SumOf(registry, one.gateways);
    CHECK(sum == doctest::Approx(one.limit));
    CHECK(holders == one.holders);
  }
}

// Guards against a target that is never sent a request again: only its answers
// show that it accepts more.
TEST_CASE("a limit of zero still allows a minimum rate") {
  LimitRegistry registry{LimitRegistryOptions{}};
  registry.SetGateways(Gateways(7));
  registry.Note(StatementOf(0.0), kNow);
  CHECK(SumOf(registry, 7).first == doctest::Approx(0.25));
}

TEST_CASE("the newest statement counts, whichever gateway sends it") {
  LimitRegistry registry{LimitRegistryOptions{}};
  registry.SetGateways(Gateways(7));
  CHECK(registry.Note(StatementOf(2.0), kNow));
  CHECK_FALSE(registry.Note(StatementOf(9.0, Seconds(2)), kNow + Seconds(1)));
  CHECK(registry.Note(StatementOf(3.0), kNow + Seconds(1)));
  CHECK(SumOf(registry, 7).first == doctest::Approx(3.0));
  CHECK(registry.Note(StatementOf(std::nullopt), kNow + Seconds(2)));
  CHECK(registry.size() == 0);
  CHECK(registry.SharesOf("g0").empty());
  // A delayed statement does not restore the limit.
  CHECK_FALSE(registry.Note(StatementOf(3.0, Seconds(2)), kNow + Seconds(3)));
}

TEST_CASE("a restarted target has no limit until it declares one") {
  LimitRegistry registry{LimitRegistryOptions{}};
  registry.SetGateways(Gateways(7));
  registry.Note(StatementOf(2.0), kNow);
  CHECK(registry.Note(StatementOf(std::nullopt, Milliseconds(1), 2), kNow));
  CHECK(registry.size() == 0);
}

TEST_CASE("a limit is divided again when the gateways change") {
  LimitRegistry registry{LimitRegistryOptions{}};
  registry.SetGateways(Gateways(7));
  registry.Note(StatementOf(1.0), kNow);
  const std::uint64_t before = registry.revision();
  registry.SetGateways(Gateways(7));
  CHECK(registry.revision() == before);
  registry.SetGateways(Gateways(2));
  CHECK(registry.revision() > before);
  CHECK(SumOf(registry, 2).first == doctest::Approx(1.0));
}

TEST_CASE("the registry stays within its bounds") {
  LimitRegistryOptions options;
  options.max_entries = 10;
  LimitRegistry registry(options);
  registry.SetGateways(Gateways(2));
  for (int i = 0; i < 100; ++i) {
    LimitStatement statement = StatementOf(1.0);
    statement.run.target = TargetId("t" + std::to_string(i));
    registry.Note(statement, kNow + Milliseconds(i));
  }
  CHECK(registry.size() == 10);
  registry.Tick(kNow + Seconds(601));
  CHECK(registry.size() == 0);
}

}  // namespace
}  // namespace bilberryspool::declared_limits
