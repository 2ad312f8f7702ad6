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
  CHECK(hearing.IsSuspect(kQuiet, At(2610)));
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
