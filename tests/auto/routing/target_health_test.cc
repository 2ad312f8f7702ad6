#include "libs/routing/target_health.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "auto/limits/seeds.h"
#include "libs/base/random.h"

namespace bilberryspool::routing {
namespace {

const ServiceId kDrafter("drafter");
const TimePoint kStart = TimeAt(Seconds(1000));

TargetId Name(std::uint64_t index) {
  return TargetId("r" + std::to_string(index));
}

FailureDomain DomainOf(std::uint64_t index) {
  return FailureDomain("d" + std::to_string(index % 3));
}

TargetHealth MakeHealth(std::uint64_t targets) {
  TargetHealth health{TargetHealthOptions{}};
  for (std::uint64_t i = 0; i < targets; ++i) {
    health.Add(Name(i), DomainOf(i), {kDrafter}, kStart);
  }
  return health;
}

void Fail(TargetHealth& health, std::uint64_t target, TimePoint now) {
  for (int i = 0; i < 5; ++i) {
    health.Record(Name(target), HealthResult::kBad, now);
  }
}

// Guards against a whole service being refused although its targets are
// healthy. An invalid request or a broken network path makes each target fail
// in turn, and without a bound on the total each one is ejected.
TEST_CASE("the number of ejections stays bounded for any failures") {
  ForEachSeed(200, [](std::uint64_t seed) {
    CAPTURE(seed);
    Random random(seed);
    const std::uint64_t targets = 1 + random.Below(16);
    TargetHealth health = MakeHealth(targets);
    TimePoint now = kStart;
    std::set<std::uint64_t> gone;
    for (int i = 0; i < 300; ++i) {
      now += random.Between(Duration(0), Seconds(1));
      const std::uint64_t target = random.Below(targets);
      if (random.Chance(0.03)) {
        gone.insert(target);
        health.Remove(Name(target), now);
      } else if (random.Chance(0.03)) {
        gone.erase(target);
        health.Add(Name(target), DomainOf(target), {kDrafter}, now);
      } else if (health.state(Name(target), now) == HealthState::kProbing) {
        health.ProbeStarted(Name(target));
        health.ProbeEnded(Name(target), HealthResult::kBad, now);
      } else {
        Fail(health, target, now);
      }
      const std::uint64_t left = targets - gone.size();
      const std::size_t ejected = health.EjectedCount(kDrafter, now);
      REQUIRE((left == 0 || ejected < left));
      REQUIRE(ejected <= std::max<std::size_t>(1, left * 34 / 100));
    }
  });
}

TEST_CASE("the last target of a domain with several isn't ejected") {
  TargetHealth health = MakeHealth(9);
  for (const std::uint64_t target : {0, 3, 6}) {
    Fail(health, target, kStart);
  }
  CHECK(health.EjectedCount(kDrafter, kStart) == 2);
  CHECK(health.state(Name(6), kStart) == HealthState::kHealthy);
  CHECK(health.weight(Name(6), kStart) < 0.5);
}

TEST_CASE("the only target of its domain may be ejected while others serve") {
  TargetHealth health = MakeHealth(3);
  Fail(health, 0, kStart);
  Fail(health, 1, kStart);
  CHECK(health.state(Name(0), kStart) == HealthState::kEjected);
  CHECK(health.state(Name(1), kStart) == HealthState::kHealthy);
}

TEST_CASE("ejections grow while probes fail, and end in a slow start") {
  TargetHealth health = MakeHealth(6);
  Fail(health, 0, kStart);
  TimePoint now = kStart;
  for (const std::int64_t seconds : {5, 10, 20, 40, 80, 120, 120}) {
    CHECK(health.ejected_until(Name(0)) - now == Seconds(seconds));
    now = health.ejected_until(Name(0));
    CHECK(health.state(Name(0), now) == HealthState::kProbing);
    health.ProbeStarted(Name(0));
    CHECK_FALSE(health.can_probe(Name(0)));
    health.ProbeEnded(Name(0), HealthResult::kBad, now);
  }
  now = health.ejected_until(Name(0));
  // Late results of attempts from before the ejection are not probes.
  health.Record(Name(0), HealthResult::kGood, now);
  CHECK(health.state(Name(0), now) == HealthState::kProbing);
  health.ProbeStarted(Name(0));
  health.ProbeEnded(Name(0), HealthResult::kGood, now);
  CHECK(health.weight(Name(0), now) == doctest::Approx(0.1));
  CHECK(health.weight(Name(0), now + Seconds(5)) == doctest::Approx(0.5));
  CHECK(health.weight(Name(0), now + Seconds(11)) == doctest::Approx(1.0));
}

TEST_CASE("intermittent failures and slow targets lead to ejection") {
  struct Row {
    const char* name;
    int fail_of_ten;
    Duration latency;
    HealthState state;
  };
  const Row rows[] = {
      {"healthy", 0, Milliseconds(100), HealthState::kHealthy},
      {"a few failures", 2, Milliseconds(100), HealthState::kHealthy},
      {"mostly failures", 8, Milliseconds(100), HealthState::kEjected},
      {"somewhat slow", 0, Milliseconds(250), HealthState::kHealthy},
      {"far slower than its peers", 0, Seconds(2), HealthState::kEjected}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    TargetHealth health = MakeHealth(6);
    for (int i = 0; i < 40; ++i) {
      for (std::uint64_t peer = 1; peer < 6; ++peer) {
        health.RecordLatency(Name(peer), Milliseconds(100));
        health.Record(Name(peer), HealthResult::kGood, kStart);
      }
      health.RecordLatency(Name(0), row.latency);
      const bool failed = i % 10 < row.fail_of_ten;
      health.Record(Name(0), failed ? HealthResult::kBad : HealthResult::kGood,
                    kStart);
    }
    CHECK(health.state(Name(0), kStart) == row.state);
  }
}

}  // namespace
}  // namespace bilberryspool::routing
