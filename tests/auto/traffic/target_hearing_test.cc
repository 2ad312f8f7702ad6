#include "libs/traffic/target_hearing.h"

#include <doctest/doctest.h>

namespace bilberryspool::traffic {
namespace {

const ServiceId kService("model");
const TargetId kQuiet("quiet");
const TargetId kOther("other");

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100) + Milliseconds(ms));
}

TargetHearing MakeHearing() {
  return TargetHearing(TargetHearingOptions{});
}

// Answers of `kOther` each 100 ms from `from` to `to`.
void KeepHearing(TargetHearing& hearing, std::int64_t from, std::int64_t to) {
  for (std::int64_t ms = from; ms <= to; ms += 100) {
    hearing.OnSent(kOther, kService, At(ms));
    hearing.OnFirstByte(kOther, Milliseconds(50), At(ms + 50));
    hearing.OnEnded(kOther);
  }
}

// Symptom: callers wait for nothing until they leave, one after the other.
// Sequence: the VM of a target freezes; its connections stay open and it has
// announced itself a moment ago. Cause: a request that its caller left counted
// as no failure of the target.
TEST_CASE("a target that is silent while others answer is suspect") {
  TargetHearing hearing = MakeHearing();
  hearing.OnSent(kQuiet, kService, At(0));
  KeepHearing(hearing, 0, 900);
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(950)));
  KeepHearing(hearing, 1000, 1100);
  CHECK(hearing.IsSuspect(kQuiet, At(1150)));
  hearing.OnHeard(kQuiet, At(1160));
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(1200)));
}

TEST_CASE("where all are silent nobody is suspect") {
  TargetHearing hearing = MakeHearing();
  KeepHearing(hearing, -500, 0);
  hearing.OnSent(kQuiet, kService, At(0));
  hearing.OnSent(kOther, kService, At(0));
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(1500)));
}

// Symptom: every stream of a group is cut off. Sequence: the group stands still
// for 1.6 s and goes on. Cause: silence alone counted against its targets.
TEST_CASE("a group that stood still and goes on has no silent target") {
  for (const std::int64_t apart : {0, 5, 50, 300}) {
    CAPTURE(apart);
    TargetHearing hearing = MakeHearing();
    hearing.OnSent(kQuiet, kService, At(-1000));
    hearing.OnSent(kOther, kService, At(-1000));
    for (std::int64_t ms = -900; ms <= 0; ms += 100) {
      hearing.OnHeard(kQuiet, At(ms));
      hearing.OnHeard(kOther, At(ms + apart));
    }
    for (std::int64_t ms = 0; ms <= 1600; ms += 20) {
      CHECK_FALSE(hearing.IsSuspect(kQuiet, At(ms)));
      CHECK_FALSE(hearing.IsSuspect(kOther, At(ms)));
      CHECK_FALSE(hearing.HasGoneOn(kService, At(0), At(ms)));
    }
    // The first bytes come apart.
    hearing.OnHeard(kOther, At(1600));
    for (std::int64_t ms = 1600; ms <= 1700; ms += 10) {
      CHECK_FALSE(hearing.IsSuspect(kQuiet, At(ms)));
      CHECK_FALSE(hearing.HasGoneOn(kService, At(0), At(ms)));
    }
    hearing.OnHeard(kQuiet, At(1700));
    hearing.OnHeard(kOther, At(1700));
    CHECK_FALSE(hearing.IsSuspect(kQuiet, At(1900)));
  }
}

TEST_CASE("a service that goes on without one connection has gone on") {
  TargetHearing hearing = MakeHearing();
  hearing.OnSent(kQuiet, kService, At(0));
  for (std::int64_t ms = 0; ms <= 2000; ms += 100) {
    // The same target, on another connection.
    hearing.OnHeard(kQuiet, At(ms));
  }
  CHECK(hearing.HasGoneOn(kService, At(400), At(2010)));
  CHECK_FALSE(hearing.HasGoneOn(kService, At(1900), At(2010)));
  CHECK_FALSE(hearing.HasGoneOn(ServiceId("another"), At(400), At(2010)));
}

TEST_CASE("a target alone is never suspect") {
  TargetHearing hearing = MakeHearing();
  hearing.OnSent(kQuiet, kService, At(0));
  hearing.OnFirstByte(kQuiet, Milliseconds(10), At(10));
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(5000)));
}

TEST_CASE("targets of another service say nothing") {
  TargetHearing hearing = MakeHearing();
  hearing.OnSent(kQuiet, ServiceId("another"), At(0));
  KeepHearing(hearing, 0, 2000);
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(2060)));
}

TEST_CASE("where answers take long, longer silence is usual") {
  TargetHearing hearing = MakeHearing();
  for (int i = 0; i < 100; ++i) {
    hearing.OnSent(kOther, kService, At(0));
    hearing.OnFirstByte(kOther, Milliseconds(600), At(0));
    hearing.OnEnded(kOther);
  }
  hearing.OnSent(kQuiet, kService, At(0));
  const auto hear_other = [&](std::int64_t ms) {
    hearing.OnSent(kOther, kService, At(ms));
    hearing.OnHeard(kOther, At(ms));
    hearing.OnEnded(kOther);
  };
  hear_other(1500);
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(1510)));
  hear_other(2600);
  // A first word after a pause says nothing yet.
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(2610)));
  hear_other(2900);
  CHECK(hearing.IsSuspect(kQuiet, At(2910)));
}

TEST_CASE("a target where nothing waits is not suspect") {
  TargetHearing hearing = MakeHearing();
  hearing.OnSent(kQuiet, kService, At(0));
  hearing.OnEnded(kQuiet);
  KeepHearing(hearing, 0, 2000);
  CHECK_FALSE(hearing.IsSuspect(kQuiet, At(2060)));
}

}  // namespace
}  // namespace bilberryspool::traffic
