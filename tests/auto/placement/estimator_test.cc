#include <doctest/doctest.h>

#include "libs/placement/popularity_estimator.h"
#include "libs/placement/speed_estimator.h"

namespace bilberryspool::placement {
namespace {

CountReport Report(std::uint64_t number, TimePoint from, double rate) {
  CountReport report;
  report.incarnation = Incarnation(1);
  report.number = number;
  report.from = from;
  report.until = from + Seconds(10);
  report.tokens = ExpertLoads(1, 2);
  report.tokens.values() = {rate * 10, 10};
  return report;
}

EstimatorOptions Options() {
  EstimatorOptions options;
  options.layers = 1;
  options.experts = 2;
  return options;
}

TEST_CASE("late, duplicate and missing reports do not bias the estimate") {
  PopularityEstimator estimator(Options());
  for (std::uint64_t i = 0; i < 60; ++i) {
    const std::uint64_t swapped = i ^ 1U;
    if (swapped % 7 == 3) {
      continue;
    }
    const TimePoint from =
        TimeAt(Seconds(10 * static_cast<std::int64_t>(swapped)));
    const TimePoint now = TimeAt(Seconds(700));
    const CountReport report = Report(swapped, from, 5);
    CHECK(estimator.Observe(report, now));
    CHECK_FALSE(estimator.Observe(report, now));
  }
  CHECK(estimator.Estimate().values()[0] == doctest::Approx(5));
  CHECK(estimator.Estimate().values()[1] == doctest::Approx(1));
}

TEST_CASE("invalid reports are dropped") {
  PopularityEstimator estimator(Options());
  const TimePoint now = TimeAt(Seconds(10000));
  CHECK_FALSE(estimator.Observe(Report(1, now, 1), now));
  CHECK_FALSE(estimator.Observe(Report(2, TimeAt(Seconds(0)), 1), now));
  CountReport other_shape = Report(3, now - Seconds(20), 1);
  other_shape.tokens = ExpertLoads(1, 3);
  CHECK_FALSE(estimator.Observe(other_shape, now));
}

TEST_CASE("the forecast follows the daily profile of previous days") {
  PopularityEstimator estimator(Options());
  std::uint64_t number = 0;
  const auto rate_at = [](Duration of_day) {
    return of_day >= Seconds(64800) ? 9.0 : 1.0;
  };
  TimePoint now = TimeAt(Seconds(0));
  const TimePoint end = now + Seconds(2 * 86400 + 17 * 3600 + 3000);
  while (now < end) {
    const Duration of_day = now.time_since_epoch() % Seconds(86400);
    estimator.Observe(Report(++number, now, rate_at(of_day)),
                      now + Seconds(10));
    now += Seconds(60);
  }
  const double here = estimator.Estimate().values()[0];
  const double ahead = estimator.Forecast(now, now + Seconds(7200)).values()[0];
  CHECK(here == doctest::Approx(1).epsilon(0.05));
  CHECK(ahead > 1.5 * here);
}

// Experts were moved away from a healthy rank again and again: its experts are
// popular, so it finishes each step last, and its time was compared without
// regard to its work.
TEST_CASE("a rank with popular experts is not classified as slow") {
  SpeedOptions options;
  options.ranks = 4;
  SpeedEstimator speeds(options);
  TimePoint now = TimeAt(Seconds(1));
  for (int i = 0; i < 100; ++i) {
    now += Seconds(10);
    speeds.Observe(RankIndex(0), 300, Milliseconds(30), now);  // popular
    speeds.Observe(RankIndex(1), 100, Milliseconds(10), now);
    speeds.Observe(RankIndex(2), 100, Milliseconds(14), now);  // slow
    speeds.Observe(RankIndex(3), 100, Milliseconds(50), now);  // very slow
  }
  CHECK(speeds.HealthOf(RankIndex(0), now) == RankHealth::kHealthy);
  CHECK(speeds.HealthOf(RankIndex(2), now) == RankHealth::kSlow);
  CHECK(speeds.HealthOf(RankIndex(3), now) == RankHealth::kToReplace);
  const std::vector<RankCapacity> capacities = speeds.Capacities(2, now);
  CHECK(capacities[0].speed == 1);
  CHECK(capacities[2].speed < 0.8);
  CHECK_FALSE(capacities[3].usable);
}

}  // namespace
}  // namespace bilberryspool::placement
