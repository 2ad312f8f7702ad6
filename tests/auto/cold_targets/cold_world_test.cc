// Many gateways before cold targets, with restarts, gateways that are cut off
// from the control nodes, and gateways that are added.

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "auto/cold_targets/cold_rule.h"
#include "libs/base/random.h"
#include "libs/cold_targets/cold_start_limiter.h"
#include "libs/cold_targets/gateway_roster.h"
#include "libs/cold_targets/seat_confirmations.h"

namespace bilberryspool::cold_targets {
namespace {

const ServiceId kService("model");
constexpr Duration kTick = Milliseconds(10);
constexpr Duration kMaxSendDelay = Milliseconds(500);

struct World {
  std::size_t gateways = 40;
  std::size_t targets = 8;
  double rate = 18.0;
  double overage = 1.5;
  double slack = 5.0;
  double requests_per_second = 900.0;
  double restarts_per_second = 0.0;
  bool are_some_cut_off = false;
  std::size_t added_gateways = 0;

  std::size_t allowed() const {
    return static_cast<std::size_t>(rate * overage + slack);
  }
};

struct Outcome {
  std::size_t most_in_one_second = 0;
  double mean_per_second = 0.0;  // per target
  std::size_t sent = 0;
  std::size_t refused = 0;
};

Outcome Play(const World& world, std::uint64_t seed) {
  Random random(seed);
  const TimePoint start = TimeAt(Seconds(100));
  ColdStartLimiterOptions options;
  options.overage = world.overage;
  options.slack = world.slack;
  GatewayRoster roster;
  SeatConfirmations confirmations(start - Seconds(70));
  std::vector<ColdStartLimiter> limiters;
  const auto name_of = [](std::size_t gateway) {
    return "gateway-" + std::to_string(gateway);
  };
  // The last gateways are added while a quarter of the others is cut off.
  const std::size_t founding = world.gateways - world.added_gateways;
  const std::size_t cut_off = world.are_some_cut_off ? founding / 4 : 0;
  const auto follow = [&](std::size_t gateway, TimePoint now) {
    limiters[gateway].SetSeat(*roster.SeatOf(name_of(gateway)));
    confirmations.OnQuery(name_of(gateway), roster.size(), now);
    roster.Apply(
        GatewayRoster::Encode({{}, confirmations.CountConfirmed(roster, now)}));
  };
  const auto make = [&](TimePoint now) {
    ColdStartLimiter limiter(options, now);
    limiter.SetRates({{kService, world.rate}});
    return limiter;
  };
  const TimePoint before = start - Seconds(10);
  for (std::size_t gateway = 0; gateway < founding; ++gateway) {
    roster.Apply(GatewayRoster::Encode({{name_of(gateway)}, 0}));
    limiters.push_back(make(before));
  }
  for (const Duration after : {Seconds(0), Seconds(2), Seconds(4)}) {
    for (std::size_t gateway = 0; gateway < founding; ++gateway) {
      follow(gateway, before + after);
    }
  }
  std::map<std::size_t, std::vector<TimePoint>> sent;
  Outcome outcome;
  constexpr int kTicks = 1000;
  for (int tick = 0; tick < kTicks; ++tick) {
    const TimePoint now = start + kTick * tick;
    if (limiters.size() < world.gateways && tick % 100 == 0) {
      roster.Apply(GatewayRoster::Encode({{name_of(limiters.size())}, 0}));
      limiters.push_back(make(now));
    }
    if (random.Chance(world.restarts_per_second * ToSeconds(kTick))) {
      limiters[cut_off + random.Below(limiters.size() - cut_off)] = make(now);
    }
    follow(cut_off + random.Below(limiters.size() - cut_off), now);
    for (double left = world.requests_per_second * ToSeconds(kTick);
         random.Fraction() < left; left -= 1.0) {
      ColdStartLimiter& limiter = limiters[random.Below(limiters.size())];
      bool is_sent = false;
      const std::size_t first = random.Below(world.targets);
      for (std::size_t i = 0; i < world.targets && !is_sent; ++i) {
        const std::size_t target = (first + i) % world.targets;
        const TargetId id("t" + std::to_string(target));
        if (limiter.MayTake(kService, id, now)) {
          limiter.Take(kService, id, now);
          sent[target].push_back(
              now + random.Between(Duration::zero(), kMaxSendDelay));
          is_sent = true;
        }
      }
      outcome.sent += is_sent ? 1 : 0;
      outcome.refused += is_sent ? 0 : 1;
    }
  }
  for (const auto& [target, times] : sent) {
    outcome.most_in_one_second =
        std::max(outcome.most_in_one_second, MostInOneSecond(times));
  }
  outcome.mean_per_second = static_cast<double>(outcome.sent) /
                            static_cast<double>(world.targets) /
                            ToSeconds(kTick * kTicks);
  return outcome;
}

// Guards against all gateways filling the empty targets of a failure domain
// that returns at once, also while some are cut off, restart or are added.
TEST_CASE("all gateways together keep to what a cold target tolerates") {
  for (const std::size_t gateways : {7, 24, 40, 74, 149}) {
    for (const double slack : {1.0, 5.0}) {
      for (const bool are_some_cut_off : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
          CAPTURE(gateways);
          CAPTURE(slack);
          CAPTURE(are_some_cut_off);
          CAPTURE(seed);
          World world;
          world.gateways = gateways;
          world.slack = slack;
          world.restarts_per_second = 2.0;
          world.are_some_cut_off = are_some_cut_off;
          world.added_gateways = 3;
          CHECK(Play(world, seed).most_in_one_second <= world.allowed());
        }
      }
    }
  }
}

// Guards against callers that are refused while cold targets tolerate more.
TEST_CASE("what cold targets tolerate is used while callers are refused") {
  for (const std::size_t gateways : {7, 40, 149}) {
    CAPTURE(gateways);
    World world;
    world.gateways = gateways;
    world.requests_per_second = 3000.0;
    const Outcome outcome = Play(world, 1);
    CHECK(outcome.refused > 0);
    // A place is used each 1.5 s at most, of which a send may take 0.5 s.
    CHECK(outcome.mean_per_second > 0.9 * world.allowed() / 1.5);
  }
}

TEST_CASE("nobody is refused while the load is within what they tolerate") {
  World world;
  world.targets = 24;
  world.requests_per_second = 90.0;
  CHECK(Play(world, 1).refused == 0);
}

}  // namespace
}  // namespace bilberryspool::cold_targets
