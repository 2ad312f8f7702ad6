// Grants of single requests, and the planning of grant requests.

#include "libs/declared_limits/limit_granter.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <string>
#include <vector>

#include "libs/declared_limits/grant_planner.h"
#include "libs/declared_limits/limit_accounts.h"
#include "libs/declared_limits/limit_codec.h"

namespace bilberryspool::declared_limits {
namespace {

const ServiceId kService("model");
const TimePoint kStart = TimeAt(Seconds(1000));

TargetRun RunOf(int number) {
  return {TargetId("t" + std::to_string(number)), Incarnation(1)};
}

GrantRequest RequestFor(int targets, double per_second, std::uint32_t wanted) {
  GrantRequest request;
  for (int i = 0; i < targets; ++i) {
    request.targets.push_back({RunOf(i), per_second});
  }
  request.wanted = wanted;
  return request;
}

std::uint32_t Count(const GrantAnswer& answer) {
  std::uint32_t count = 0;
  for (const Grant& grant : answer.grants) {
    count += grant.requests;
  }
  return count;
}

class GranterFixture {
 public:
  std::uint32_t Ask(const GrantRequest& request, Duration at) {
    return Count(granter.Ask(request, registry, kStart + at));
  }

  LimitRegistry registry{LimitRegistryOptions{}};
  LimitGranter granter{LimitGranterOptions{}};
};

// Guards against granting the whole limit to each of several gateways.
TEST_CASE("the total number of grants stays within the limit") {
  GranterFixture fixture;
  std::uint32_t granted = 0;
  for (int i = 0; i < 1000; ++i) {
    granted += fixture.Ask(RequestFor(1, 5.0, 3), Milliseconds(10L * i));
  }
  CHECK(granted >= 49);
  CHECK(granted <= 50);
}

// Guards against two control nodes that each grant the whole limit.
TEST_CASE("a node that is not the first choice grants a part of the limit") {
  GranterFixture fixture;
  GrantRequest request = RequestFor(1, 5.0, 3);
  request.is_first_choice = false;
  std::uint32_t granted = 0;
  for (int i = 0; i < 1000; ++i) {
    granted += fixture.Ask(request, Milliseconds(10L * i));
  }
  CHECK(granted <= 13);
  CHECK(granted >= 11);
}

TEST_CASE("grants come from the accounts with the highest level") {
  GranterFixture fixture;
  const GrantRequest request = RequestFor(3, 2.0, 3);
  CHECK(fixture.Ask(request, Seconds(0)) == 0);
  const GrantAnswer answer =
      fixture.granter.Ask(request, fixture.registry, kStart + Seconds(1));
  REQUIRE(answer.grants.size() == 3);
  for (const Grant& grant : answer.grants) {
    CHECK(grant.requests == 1);
  }
}

TEST_CASE("a lowered limit applies at once, whichever side learned of it") {
  GranterFixture fixture;
  fixture.Ask(RequestFor(1, 50.0, 1), Seconds(0));
  fixture.registry.Note({RunOf(0), 1.0, Duration::zero()}, kStart);
  std::uint32_t granted = 0;
  for (int i = 1; i <= 100; ++i) {
    granted += fixture.Ask(RequestFor(1, 50.0, 10), Milliseconds(100L * i));
  }
  CHECK(granted <= 14);
  // A gateway that has received a lower limit first.
  CHECK(fixture.Ask(RequestFor(1, 0.5, 10), Seconds(11)) <= 1);
}

// Guards against telling all callers to retry at the same time for a single
// request.
TEST_CASE("denied callers are told different retry times") {
  GranterFixture fixture;
  const GrantRequest request = RequestFor(1, 2.0, 1);
  Duration last{};
  for (int i = 0; i < 4; ++i) {
    const GrantAnswer answer =
        fixture.granter.Ask(request, fixture.registry, kStart);
    REQUIRE(answer.grants.empty());
    CHECK(answer.wait > last);
    last = answer.wait;
  }
  CHECK(last >= Seconds(1));
}

TEST_CASE("unused accounts are erased, and their number is bounded") {
  LimitGranterOptions options;
  options.max_accounts = 2;
  LimitGranter granter(options);
  const LimitRegistry registry{LimitRegistryOptions{}};
  granter.Ask(RequestFor(3, 1.0, 1), registry, kStart);
  CHECK(granter.size() == 2);
  granter.Tick(kStart + Seconds(59));
  CHECK(granter.size() == 2);
  granter.Tick(kStart + Seconds(61));
  CHECK(granter.size() == 0);
}

TEST_CASE("a grant may be used once, and expires") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.OnLimitReceived(RunOf(0), 1.0, kStart);
  const std::vector<DeclaredLimit> asked{{RunOf(0), 1.0}};
  accounts.OnGranted(asked, {{{RunOf(0), 2}}, Duration::zero()}, kStart);
  CHECK(accounts.MayTake(RunOf(0), kStart));
  accounts.Take(RunOf(0), kStart);
  CHECK(accounts.MayTake(RunOf(0), kStart));
  CHECK_FALSE(accounts.MayTake(RunOf(0), kStart + Seconds(1)));
  accounts.Take(RunOf(0), kStart);
  CHECK_FALSE(accounts.MayTake(RunOf(0), kStart));
}

TEST_CASE("without a grant the wait of the control node applies") {
  LimitAccounts accounts{LimitAccountsOptions{}};
  accounts.OnLimitReceived(RunOf(0), 1.0, kStart);
  accounts.OnGranted({{RunOf(0), 1.0}}, {{}, Milliseconds(700)}, kStart);
  CHECK(accounts.WaitFor(RunOf(0), kStart) == Milliseconds(700));
  // If no control node answers, the share applies.
  accounts.OnGranterUnavailable();
  CHECK(accounts.MayTake(RunOf(0), kStart + Seconds(30)));
}

// Guards against a grant request for each of thousands of callers.
TEST_CASE("a gateway requests grants for the next quarter of a second") {
  GrantPlanner planner{GrantPlannerOptions{}};
  CHECK(planner.GrantsToRequest(kService, true, kStart) == 1);
  for (int i = 0; i < 100; ++i) {
    planner.OnRequest(kService, kStart + Milliseconds(10L * i));
  }
  CHECK(planner.GrantsToRequest(kService, true, kStart + Seconds(1)) == 26);
}

TEST_CASE("denials and unlimited targets reduce the rate of grant requests") {
  GrantPlanner planner{GrantPlannerOptions{}};
  planner.OnAnswer(kService, /*is_denied=*/true, kStart);
  CHECK_FALSE(planner.GrantsToRequest(kService, true, kStart).has_value());
  CHECK(planner.GrantsToRequest(kService, true, kStart + Milliseconds(20))
            .has_value());
  CHECK_FALSE(
      planner.GrantsToRequest(kService, false, kStart + Milliseconds(60))
          .has_value());
  CHECK(planner.GrantsToRequest(kService, false, kStart + Milliseconds(130)) ==
        1);
}

TEST_CASE("grant requests and answers survive a round trip through JSON") {
  GrantRequest request = RequestFor(2, 0.5, 7);
  request.is_first_choice = false;
  const auto read = GrantRequestFromJson(ToJson(request));
  REQUIRE(read.has_value());
  CHECK(read->targets.size() == 2);
  CHECK(read->targets[1].run == RunOf(1));
  CHECK(read->targets[1].per_second == 0.5);
  CHECK(read->wanted == 7);
  CHECK_FALSE(read->is_first_choice);
  const GrantAnswer answer{{{RunOf(1), 3}}, Milliseconds(20)};
  const auto reported = GrantAnswerFromJson(ToJson(answer));
  REQUIRE(reported.has_value());
  CHECK(Count(*reported) == 3);
  CHECK(reported->wait == Milliseconds(20));
  for (const char* text : {"1", "{}", R"({"targets":1})", R"({"grants":[1]})",
                           R"({"targets":[{"target":"t"}],"wanted":1})"}) {
    CAPTURE(text);
    const boost::json::value json = boost::json::parse(text);
    CHECK_FALSE(GrantRequestFromJson(json).has_value());
    CHECK_FALSE(GrantAnswerFromJson(json).has_value());
  }
}

}  // namespace
}  // namespace bilberryspool::declared_limits
