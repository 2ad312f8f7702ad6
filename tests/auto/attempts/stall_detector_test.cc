#include "libs/attempts/stall_detector.h"

#include <doctest/doctest.h>

namespace bilberryspool::attempts {
namespace {

AdmissionToken Token(std::uint64_t epoch) {
  return {Incarnation(1), TokenGeneration(0), Epoch(epoch)};
}

TEST_CASE("a jump of the own clock is a stall") {
  StallDetector detector({}, TimeAt({}));
  CHECK_FALSE(detector.Beat(TimeAt(Seconds(60))));
  CHECK_FALSE(detector.MayPredateStall(TimeAt(Seconds(60))));
  CHECK(detector.Beat(TimeAt(Seconds(121))));
  CHECK(detector.MayPredateStall(TimeAt(Seconds(122))));
  CHECK_FALSE(detector.MayPredateStall(TimeAt(Seconds(123))));
}

// Guards against a second run of a request that is read after a pause of the
// VM. It comes about if each token is compared with the previous one only: the
// VM is paused for minutes together with its clock, the agents' tokens queue up
// and are read one after the other, and each step between two tokens is small.
TEST_CASE("epochs that get ahead of the own clock are a stall") {
  StallDetector detector({}, TimeAt({}));
  const TargetId target("t");
  for (std::int64_t epoch = 1; epoch <= 100; ++epoch) {
    const TimePoint now = TimeAt(Seconds(5) * epoch);
    CHECK_FALSE(detector.Observe(target, Token(epoch), now));
  }
  const TimePoint resumed = TimeAt(Seconds(500));
  for (std::uint64_t epoch = 101; epoch <= 112; ++epoch) {
    CHECK_FALSE(detector.Observe(target, Token(epoch), resumed));
  }
  CHECK(detector.Observe(target, Token(113), resumed));
  CHECK(detector.MayPredateStall(resumed));
}

TEST_CASE("late tokens and a restarted agent are no stall") {
  StallDetector detector({}, TimeAt({}));
  const TargetId target("t");
  CHECK_FALSE(detector.Observe(target, Token(50), TimeAt(Seconds(250))));
  CHECK_FALSE(detector.Observe(target, Token(51), TimeAt(Seconds(400))));
  CHECK_FALSE(detector.Observe(target, Token(80), TimeAt(Seconds(401))));
  AdmissionToken restarted = Token(500);
  restarted.incarnation = Incarnation(2);
  CHECK_FALSE(detector.Observe(target, restarted, TimeAt(Seconds(402))));
  CHECK_FALSE(detector.Observe(target, Token(500), TimeAt(Seconds(402))));
}

}  // namespace
}  // namespace bilberryspool::attempts
