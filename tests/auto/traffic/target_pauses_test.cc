#include "libs/traffic/target_pauses.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace bilberryspool::traffic {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(50));
const TargetId kTarget("a");
const TargetRun kRun{kTarget, Incarnation(7)};

Duration TimeLeft(const TargetPauses& pauses, Duration after) {
  return pauses.TimeLeft(kTarget, kRun.incarnation, kStart + after);
}

TEST_CASE("a pause lasts as long as the target asked for, and ends by itself") {
  TargetPauses pauses;
  CHECK(TimeLeft(pauses, Duration::zero()) == Duration::zero());
  CHECK(pauses.OnRequested(kRun, Seconds(3), kStart));
  CHECK(TimeLeft(pauses, Duration::zero()) == Seconds(3));
  CHECK(pauses.IsPaused(kTarget, kRun.incarnation, kStart + Seconds(2)));
  CHECK_FALSE(pauses.IsPaused(kTarget, kRun.incarnation, kStart + Seconds(3)));
  CHECK(pauses.Count(kStart) == 1);
  CHECK(pauses.Count(kStart + Seconds(3)) == 0);
}

// Guards against requests in a pause because a later refusal, of a request that
// was already on its way, named a shorter one.
TEST_CASE("a pause is extended, never shortened") {
  TargetPauses pauses;
  pauses.OnRequested(kRun, Seconds(3), kStart);
  CHECK_FALSE(pauses.OnRequested(kRun, Seconds(1), kStart + Seconds(1)));
  CHECK_FALSE(pauses.OnRequested(kRun, Duration::zero(), kStart + Seconds(1)));
  CHECK(TimeLeft(pauses, Seconds(1)) == Seconds(2));
  CHECK_FALSE(pauses.OnRequested(kRun, Seconds(4), kStart + Seconds(2)));
  CHECK(TimeLeft(pauses, Seconds(2)) == Seconds(4));
}

// Guards against a restarted target that gets no requests because of what its
// earlier run asked for.
TEST_CASE("another run of the target is not paused") {
  TargetPauses pauses;
  pauses.OnRequested(kRun, Seconds(30), kStart);
  CHECK_FALSE(pauses.IsPaused(kTarget, Incarnation(8), kStart));
  CHECK(pauses.OnRequested({kTarget, Incarnation(8)}, Seconds(1), kStart));
  CHECK_FALSE(
      pauses.IsPaused(kTarget, Incarnation(8), kStart + Milliseconds(1000)));
}

// Guards against callers that are refused in one pause and fill the target at
// the moment at which it ends.
TEST_CASE("refused callers return after the pause, spread over a while") {
  Random random(3);
  for (const Duration left : {Seconds(30), Seconds(3), Milliseconds(200)}) {
    Duration soonest = Seconds(100);
    Duration latest{};
    for (int i = 0; i < 100; ++i) {
      const Duration retry_after = RetryAfterPause(left, random);
      soonest = std::min(soonest, retry_after);
      latest = std::max(latest, retry_after);
    }
    CHECK(soonest >= left);
    CHECK(latest > left + std::min(left, kMaxReturnSpread) / 2);
    CHECK(latest <= left + std::min(left, kMaxReturnSpread));
  }
}

TEST_CASE("ended pauses are not kept") {
  TargetPauses pauses;
  for (int i = 0; i < 1000; ++i) {
    const TargetRun run{TargetId("t" + std::to_string(i)), Incarnation(1)};
    pauses.OnRequested(run, Seconds(1), kStart + Seconds(i));
    CHECK(pauses.size() <= 3);
  }
}

}  // namespace
}  // namespace bilberryspool::traffic
