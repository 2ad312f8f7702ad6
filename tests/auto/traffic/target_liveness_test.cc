#include "libs/traffic/target_liveness.h"

#include <doctest/doctest.h>

namespace bilberryspool::traffic {
namespace {

const ServiceId kService("model");
const TargetId kSilent("quiet");
const TargetId kOther("other");

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100) + Milliseconds(ms));
}

TargetLiveness MakeLiveness() {
  return TargetLiveness(TargetLivenessOptions{});
}

// Lets `kOther` respond every 100 ms from `from` to `to`.
void RespondRegularly(TargetLiveness& liveness,
                      std::int64_t from,
                      std::int64_t to) {
  for (std::int64_t ms = from; ms <= to; ms += 100) {
    liveness.OnSent(kOther, kService, At(ms));
    liveness.OnFirstByte(kOther, Milliseconds(50), At(ms + 50));
    liveness.OnEnded(kOther);
  }
}

// Guards against callers that wait for a frozen target one after the other
// until they disconnect. The connections of the target stay open, it announced
// itself a moment ago, and a request whose caller disconnected does not count
// as a failure of the target.
TEST_CASE("a target that is silent while others respond is suspect") {
  TargetLiveness liveness = MakeLiveness();
  liveness.OnSent(kSilent, kService, At(0));
  RespondRegularly(liveness, 0, 900);
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(950)));
  RespondRegularly(liveness, 1000, 1100);
  CHECK(liveness.IsSuspect(kSilent, At(1150)));
  liveness.OnBytesReceived(kSilent, At(1160));
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(1200)));
}

TEST_CASE("no target is suspect while all are silent") {
  TargetLiveness liveness = MakeLiveness();
  RespondRegularly(liveness, -500, 0);
  liveness.OnSent(kSilent, kService, At(0));
  liveness.OnSent(kOther, kService, At(0));
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(1500)));
}

// Guards against cutting off every stream of a group that is stalled for 1.6 s
// and then continues, which happens if silence alone counts against its
// targets.
TEST_CASE("a group that continues after a stall has no suspect target") {
  for (const std::int64_t apart : {0, 5, 50, 300}) {
    CAPTURE(apart);
    TargetLiveness liveness = MakeLiveness();
    liveness.OnSent(kSilent, kService, At(-1000));
    liveness.OnSent(kOther, kService, At(-1000));
    for (std::int64_t ms = -900; ms <= 0; ms += 100) {
      liveness.OnBytesReceived(kSilent, At(ms));
      liveness.OnBytesReceived(kOther, At(ms + apart));
    }
    for (std::int64_t ms = 0; ms <= 1600; ms += 20) {
      CHECK_FALSE(liveness.IsSuspect(kSilent, At(ms)));
      CHECK_FALSE(liveness.IsSuspect(kOther, At(ms)));
      CHECK_FALSE(liveness.HasProgressed(kService, At(0), At(ms)));
    }
    // The first bytes do not arrive at the same time.
    liveness.OnBytesReceived(kOther, At(1600));
    for (std::int64_t ms = 1600; ms <= 1700; ms += 10) {
      CHECK_FALSE(liveness.IsSuspect(kSilent, At(ms)));
      CHECK_FALSE(liveness.HasProgressed(kService, At(0), At(ms)));
    }
    liveness.OnBytesReceived(kSilent, At(1700));
    liveness.OnBytesReceived(kOther, At(1700));
    CHECK_FALSE(liveness.IsSuspect(kSilent, At(1900)));
  }
}

TEST_CASE("a service progresses while one of its connections is silent") {
  TargetLiveness liveness = MakeLiveness();
  liveness.OnSent(kSilent, kService, At(0));
  for (std::int64_t ms = 0; ms <= 2000; ms += 100) {
    // The same target, on another connection.
    liveness.OnBytesReceived(kSilent, At(ms));
  }
  CHECK(liveness.HasProgressed(kService, At(400), At(2010)));
  CHECK_FALSE(liveness.HasProgressed(kService, At(1900), At(2010)));
  CHECK_FALSE(liveness.HasProgressed(ServiceId("another"), At(400), At(2010)));
}

TEST_CASE("the only target of a service is never suspect") {
  TargetLiveness liveness = MakeLiveness();
  liveness.OnSent(kSilent, kService, At(0));
  liveness.OnFirstByte(kSilent, Milliseconds(10), At(10));
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(5000)));
}

TEST_CASE("responses of another service do not count") {
  TargetLiveness liveness = MakeLiveness();
  liveness.OnSent(kSilent, ServiceId("another"), At(0));
  RespondRegularly(liveness, 0, 2000);
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(2060)));
}

TEST_CASE("longer silence is accepted if responses usually take longer") {
  TargetLiveness liveness = MakeLiveness();
  for (int i = 0; i < 100; ++i) {
    liveness.OnSent(kOther, kService, At(0));
    liveness.OnFirstByte(kOther, Milliseconds(600), At(0));
    liveness.OnEnded(kOther);
  }
  liveness.OnSent(kSilent, kService, At(0));
  const auto respond = [&](std::int64_t ms) {
    liveness.OnSent(kOther, kService, At(ms));
    liveness.OnBytesReceived(kOther, At(ms));
    liveness.OnEnded(kOther);
  };
  respond(1500);
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(1510)));
  respond(2600);
  // The first response after a gap is not sufficient.
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(2610)));
  respond(2900);
  CHECK(liveness.IsSuspect(kSilent, At(2910)));
}

TEST_CASE("a target without waiting requests is not suspect") {
  TargetLiveness liveness = MakeLiveness();
  liveness.OnSent(kSilent, kService, At(0));
  liveness.OnEnded(kSilent);
  RespondRegularly(liveness, 0, 2000);
  CHECK_FALSE(liveness.IsSuspect(kSilent, At(2060)));
}

}  // namespace
}  // namespace bilberryspool::traffic
