#include <doctest/doctest.h>

#include <vector>

#include "libs/declared_limits/limit_accounts.h"

namespace bilberryspool::declared_limits {
namespace {

const TimePoint kNow = TimePoint{} + Seconds(1000);
const TargetRun kRun{TargetId("t"), Incarnation(1)};

std::vector<LimitShare> Share(double per_second, double share) {
  return {{kRun, per_second, share}};
}

// Number of requests that a gateway sends within `length` if it tries every 10
// ms.
int SentIn(LimitAccounts& accounts, TimePoint from, Duration length) {
  int sent = 0;
  for (TimePoint now = from; now < from + length; now += Milliseconds(10)) {
    if (accounts.MayTake(kRun, now)) {
      accounts.Take(kRun, now);
      ++sent;
    }
  }
  return sent;
}

TEST_CASE("requests to a target without a limit are not restricted") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  CHECK_FALSE(accounts.OnLimitReceived(kRun, std::nullopt, kNow));
  CHECK_FALSE(accounts.IsLimited(kRun));
  CHECK(SentIn(accounts, kNow, Seconds(1)) == 100);
}

TEST_CASE("a gateway sends what its share allows, without an initial burst") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.Adopt("a", Share(5.0, 2.0), kNow);
  CHECK_FALSE(accounts.MayTake(kRun, kNow));
  CHECK(accounts.WaitFor(kRun, kNow) <= Milliseconds(501));
  CHECK(SentIn(accounts, kNow, Seconds(10)) == 19);
  accounts.Adopt("a", Share(5.0, 0.0), kNow + Seconds(10));
  CHECK(SentIn(accounts, kNow + Seconds(10), Seconds(10)) == 0);
}

TEST_CASE("the smallest share of the reachable control nodes counts") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.Adopt("a", Share(5.0, 2.0), kNow);
  accounts.Adopt("b", Share(5.0, 1.0), kNow);
  CHECK(accounts.total_share() == doctest::Approx(1.0));
  accounts.SetReachable("b", false, kNow);
  CHECK(accounts.total_share() == doctest::Approx(2.0));
  accounts.SetReachable("a", false, kNow);
  CHECK(accounts.total_share() == doctest::Approx(1.0));
}

// Guards against each gateway using the whole of a limit that it received.
TEST_CASE(
    "before a control node has divided a limit, the known gateways share it") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.SetGateways(40);
  CHECK(accounts.OnLimitReceived(kRun, 4.0, kNow));
  CHECK_FALSE(accounts.OnLimitReceived(kRun, 4.0, kNow));
  CHECK(accounts.total_share() == doctest::Approx(0.1));
  REQUIRE(accounts.Statements(kNow).size() == 1);
  CHECK(accounts.Statements(kNow + Seconds(3)).empty());
  accounts.Tick(kNow + Seconds(61));
  CHECK_FALSE(accounts.IsLimited(kRun));
}

TEST_CASE("a lower limit applies at once, a higher one with the next shares") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.Adopt("a", Share(8.0, 2.0), kNow);
  accounts.OnLimitReceived(kRun, 2.0, kNow);
  CHECK(accounts.total_share() == doctest::Approx(0.5));
  accounts.OnLimitReceived(kRun, 16.0, kNow);
  CHECK(accounts.total_share() == doctest::Approx(2.0));
}

TEST_CASE("a restarted target is not bound by the limit of its previous run") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.Adopt("a", Share(1.0, 0.0), kNow);
  const TargetRun next{kRun.target, Incarnation(2)};
  CHECK_FALSE(accounts.IsLimited(next));
  CHECK(accounts.MayTake(next, kNow));
  accounts.OnLimitReceived(next, 3.0, kNow);
  CHECK(accounts.IsLimited(next));
}

TEST_CASE("a limit ends once the control nodes no longer report it") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.Adopt("a", Share(1.0, 0.5), kNow);
  accounts.OnLimitReceived(kRun, std::nullopt, kNow);
  CHECK(accounts.IsLimited(kRun));
  CHECK(accounts.Statements(kNow).size() == 1);
  accounts.Adopt("a", {}, kNow);
  CHECK_FALSE(accounts.IsLimited(kRun));
}

}  // namespace
}  // namespace bilberryspool::declared_limits
