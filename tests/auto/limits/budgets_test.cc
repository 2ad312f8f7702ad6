#include <doctest/doctest.h>

#include <string>

#include "auto/limits/seeds.h"
#include "libs/base/random.h"
#include "libs/limits/backoff.h"
#include "libs/limits/drain_rate.h"
#include "libs/limits/retry_budget.h"
#include "libs/limits/token_bucket.h"

namespace bilberryspool::limits {
namespace {

// Guards against targets that stay overloaded for minutes after a short fault.
// Everything fails for a second and each entry retries each request; without a
// common bound, the retries alone exceed the capacity of the targets and fail
// as well.
TEST_CASE("retries stay within the budget whatever the workspaces do") {
  ForEachSeed(200, [](std::uint64_t seed) {
    CAPTURE(seed);
    Random random(seed);
    const RetryBudgetOptions options;
    RetryBudget budget(options);
    const std::uint64_t workspaces = 1 + random.Below(100);
    TimePoint now = TimeAt(Seconds(1));
    double firsts = 0.0;
    double retries = 0.0;
    for (int i = 0; i < 2000; ++i) {
      now += random.Between(Duration(0), Milliseconds(20));
      const Workspace workspace(std::to_string(random.Below(workspaces)));
      if (random.Chance(0.3)) {
        budget.OnFirstAttempt(workspace, now);
        firsts += 1.0;
      } else if (budget.TryRetry(workspace, now)) {
        retries += 1.0;
      }
      if (random.Chance(0.01)) {
        budget.Prune(now);
      }
      const double seconds = ToSeconds(now.time_since_epoch());
      REQUIRE(retries <= options.ratio * firsts + options.global_burst +
                             options.global_reserve * seconds + 1e-6);
    }
    CHECK(retries > 0.0);
  });
}

TEST_CASE("one workspace can't use up the retries of the others") {
  RetryBudget budget(RetryBudgetOptions{});
  const TimePoint now = TimeAt(Seconds(1));
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += budget.TryRetry(Workspace("large"), now) ? 1 : 0;
  }
  CHECK(allowed == 5);
  CHECK(budget.TryRetry(Workspace("small"), now));
}

TEST_CASE("backoff grows, is bounded and spread") {
  struct Row {
    std::uint32_t retry;
    Duration least;
    Duration largest;
  };
  const Row rows[] = {{0, Milliseconds(25), Milliseconds(50)},
                      {1, Milliseconds(50), Milliseconds(100)},
                      {3, Milliseconds(200), Milliseconds(400)},
                      {40, Milliseconds(2500), Seconds(5)}};
  Random random(3);
  for (const Row& row : rows) {
    Duration least = Seconds(60);
    Duration largest{0};
    for (int i = 0; i < 200; ++i) {
      const Duration delay = BackoffDelay(BackoffOptions{}, row.retry, random);
      least = std::min(least, delay);
      largest = std::max(largest, delay);
    }
    CHECK(least >= row.least);
    CHECK(largest <= row.largest);
    CHECK(largest > least);
  }
}

TEST_CASE("a bucket reports the time until it has enough again") {
  struct Row {
    double rate;
    double burst;
    double cost;
  };
  const Row rows[] = {{1.0, 1.0, 1.0}, {10.0, 5.0, 3.0}, {2.0, 4.0, 100.0}};
  for (const Row& row : rows) {
    TokenBucket bucket(row.rate, row.burst);
    TimePoint now = TimeAt(Seconds(1));
    REQUIRE(bucket.TryTake(row.cost, now));
    while (bucket.TryTake(row.cost, now)) {
    }
    const Duration wait = bucket.WaitFor(row.cost, now);
    CHECK(wait > Duration(0));
    CHECK_FALSE(bucket.TryTake(row.cost, now + wait - Milliseconds(1)));
    CHECK(bucket.TryTake(row.cost, now + wait));
  }
}

TEST_CASE("the drain rate follows the run times of requests") {
  DrainRate rate(Seconds(1));
  for (int i = 0; i < 200; ++i) {
    rate.Observe(Seconds(4), 100);
  }
  CHECK(ToSeconds(rate.RunTime(0)) == doctest::Approx(4.0).epsilon(0.01));
  CHECK(ToSeconds(rate.RunTime(200)) == doctest::Approx(8.0).epsilon(0.01));
  CHECK(ToSeconds(rate.TimeToDrain(10, 8)) ==
        doctest::Approx(5.0).epsilon(.01));
}

}  // namespace
}  // namespace bilberryspool::limits
