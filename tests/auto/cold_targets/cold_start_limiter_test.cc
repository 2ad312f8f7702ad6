#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "libs/cold_targets/cold_start_limiter.h"
#include "libs/cold_targets/place_owner.h"
#include "libs/cold_targets/seat_confirmations.h"

namespace bilberryspool::cold_targets {
namespace {

const ServiceId kService("model");
const TargetId kTarget("t1");
constexpr TimePoint kStart = TimeAt(Seconds(50));

ColdStartLimiter MakeLimiter(double overage, double slack) {
  ColdStartLimiterOptions options;
  options.overage = overage;
  options.slack = slack;
  return {options, kStart};
}

TEST_CASE("one gateway alone uses all places, once in the interval") {
  ColdStartLimiter limiter = MakeLimiter(1.5, 2.0);
  limiter.SetRates({{kService, 4.0}});
  limiter.SetSeat({0, 1, true});
  TimePoint now = kStart + Seconds(10);
  int taken = 0;
  while (limiter.MayTake(kService, kTarget, now)) {
    limiter.Take(kService, kTarget, now);
    ++taken;
  }
  CHECK(taken == 8);
  CHECK(limiter.WaitFor(kService, kTarget, now) == Milliseconds(1500));
  now += Milliseconds(1500);
  CHECK(limiter.MayTake(kService, kTarget, now));
  limiter.Tick(now);
  CHECK(limiter.size() == 0);
}

// Guards against requests to cold targets from a process that doesn't know what
// others, or the process before it, have sent.
TEST_CASE("a process without a seat, or that has just started, sends none") {
  ColdStartLimiter limiter = MakeLimiter(1.0, 0.0);
  limiter.SetRates({{kService, 4.0}});
  CHECK_FALSE(
      limiter.WaitFor(kService, kTarget, kStart + Seconds(9)).has_value());
  limiter.SetSeat({0, 1, false});
  CHECK_FALSE(
      limiter.WaitFor(kService, kTarget, kStart + Seconds(9)).has_value());
  limiter.SetSeat({0, 1, true});
  CHECK(limiter.WaitFor(kService, kTarget, kStart) == Seconds(1));
  CHECK(limiter.MayTake(kService, kTarget, kStart + Seconds(1)));
}

// Guards against a gateway that is added while another one is cut off and still
// uses the places that move.
TEST_CASE("a gateway is confirmed when all have known it for a while") {
  GatewayRoster roster;
  roster.Apply(GatewayRoster::Encode({{"a", "b"}, 0}));
  SeatConfirmations confirmations(kStart);
  CHECK(confirmations.CountConfirmed(roster, kStart) == 0);
  confirmations.OnQuery("a", 2, kStart);
  confirmations.OnQuery("b", 2, kStart);
  CHECK(confirmations.CountConfirmed(roster, kStart + Seconds(1)) == 0);
  CHECK(confirmations.CountConfirmed(roster, kStart + Seconds(2)) == 2);
  roster.Apply(GatewayRoster::Encode({{"c"}, 0}));
  CHECK(confirmations.CountConfirmed(roster, kStart + Seconds(2)) == 0);
  const TimePoint later = kStart + Seconds(30);
  confirmations.OnQuery("a", 3, later);
  confirmations.OnQuery("c", 3, later);
  CHECK(confirmations.CountConfirmed(roster, later + Seconds(2)) == 2);
  CHECK(confirmations.CountConfirmed(roster, kStart + Seconds(61)) == 3);
}

TEST_CASE("services that declare no rate are not limited") {
  ColdStartLimiter limiter = MakeLimiter(1.0, 0.0);
  limiter.SetRates({{ServiceId("other"), 4.0}});
  for (int i = 0; i < 100; ++i) {
    CHECK(limiter.MayTake(kService, kTarget, kStart));
    limiter.Take(kService, kTarget, kStart);
  }
  CHECK(limiter.size() == 0);
}

TEST_CASE("a seat of fewer gateways is older") {
  ColdStartLimiter limiter = MakeLimiter(1.0, 0.0);
  limiter.SetSeat({1, 7, true});
  limiter.SetSeat({1, 3, false});
  CHECK(limiter.seat() == GatewaySeat{1, 7, true});
}

// Guards against two gateways that use the same place, and against places that
// nobody may use.
TEST_CASE("each place has one owner, for any number of gateways") {
  for (const std::uint64_t gateways : {1, 2, 7, 40, 74, 149}) {
    for (const std::uint64_t places : {1, 6, 32, 200}) {
      CAPTURE(gateways);
      CAPTURE(places);
      std::uint64_t sum = 0;
      for (std::uint64_t index = 0; index < gateways; ++index) {
        sum += CountOwnPlaces("t1", places, {index, gateways});
      }
      CHECK(sum == places);
    }
  }
}

TEST_CASE("places move only to gateways that are new") {
  for (std::uint64_t hash = 1; hash < 2000; ++hash) {
    for (const std::uint64_t gateways : {1, 6, 39, 148}) {
      const std::uint64_t before =
          OwnerOfPlace(hash * 0x9e3779b97f4a7c15ULL, gateways);
      const std::uint64_t after =
          OwnerOfPlace(hash * 0x9e3779b97f4a7c15ULL, gateways + 1);
      CHECK((after == before || after == gateways));
    }
  }
}

}  // namespace
}  // namespace bilberryspool::cold_targets
