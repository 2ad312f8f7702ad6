// One scenario for each failure that the group must come through.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "auto/groups/group_world.h"

namespace bilberryspool::groups {
namespace {

bool EveryRank(GroupWorld& world,
               const std::vector<std::uint32_t>& ranks,
               GroupState state) {
  return std::all_of(ranks.begin(), ranks.end(), [&](std::uint32_t rank) {
    return world.rank(rank).state() == state;
  });
}

TEST_CASE("a group switches to another map while it serves") {
  GroupWorld world(WorldOptions{}, 1);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  const MapVersion before = world.map_version();
  world.ChooseRandomMap();
  world.RunFor(Milliseconds(20));
  CHECK(world.controller(*world.holder()).phase() == ChangePhase::kPreparing);
  CHECK(world.controller(*world.holder()).state() == GroupState::kChanging);
  CHECK(world.controller(*world.holder()).pending_fetches() > 0);
  std::size_t done = world.steps_done();
  while (world.controller(*world.holder()).phase()) {
    world.RunFor(Milliseconds(100));
    CHECK(world.steps_done() > done);
    done = world.steps_done();
  }
  CHECK(world.map_version() > before);
  CHECK(world.controller(*world.holder()).state() == GroupState::kServing);
  CHECK(world.violations().empty());
}

// A rank is lost during a step, and its peers wait in that step. Guards against
// a group that answers nobody for minutes because the rank stays in the member
// set, although others hold copies of all its experts.
TEST_CASE("a lost rank whose experts have copies is removed, then rejoins") {
  struct Row {
    const char* name;
    void (*lose)(GroupWorld&);
  };
  const Row rows[] = {
      {"frozen", [](GroupWorld& world) { world.FreezeRank(0, Seconds(6)); }},
      {"stuck", [](GroupWorld& world) { world.SetEngineStuck(3, true); }},
      {"restarted", [](GroupWorld& world) { world.RestartRank(5); }}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    GroupWorld world(WorldOptions{}, 2);
    REQUIRE(world.RunUntilComplete(Seconds(10)));
    row.lose(world);
    CHECK(world.RunUntilMembers(5, Seconds(4)));
    world.SetEngineStuck(3, false);
    CHECK(world.RunUntilComplete(Seconds(15)));
    CHECK(world.violations().empty());
  }
}

// Ranks are lost that hold the only copies of experts, with no room elsewhere.
// Guards against callers that wait without an answer because the group stays in
// routing although no view can be formed.
TEST_CASE(
    "a lost rank without copies elsewhere takes the group out of routing") {
  WorldOptions options;
  options.slots = 1;
  GroupWorld world(options, 3);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  world.FreezeRank(1, Seconds(5));
  world.RunFor(Milliseconds(700));
  CHECK(EveryRank(world, {0, 2, 3, 4, 5}, GroupState::kStalled));
  world.RunFor(Milliseconds(300));
  const GroupController& controller = world.controller(*world.holder());
  CHECK(controller.state() == GroupState::kOut);
  CHECK(controller.why() == "the ranks that are left can't hold every expert");
  CHECK(world.RunUntilComplete(Seconds(20)));
  CHECK(world.violations().empty());
}

// A failure domain is cut off; the other ranks continue with a new map, and
// those that were cut off with the old one. Guards against answers that mix
// tokens of two maps because both sides consider themselves the group.
TEST_CASE("a partition through the group leaves one side serving") {
  GroupWorld world(WorldOptions{}, 4);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  world.CutDomain(1, true);
  world.RunFor(Milliseconds(700));
  CHECK(EveryRank(world, {1, 4}, GroupState::kStalled));
  CHECK(world.RunUntilMembers(4, Seconds(8)));
  const StepId before = world.rank(1).last_step();
  world.RunFor(Seconds(3));
  CHECK(world.rank(1).last_step() == before);
  world.CutDomain(1, false);
  CHECK(world.RunUntilComplete(Seconds(15)));
  CHECK(world.violations().empty());
}

TEST_CASE("half of the ranks or fewer never serve") {
  WorldOptions options;
  options.ranks = 4;
  options.experts = 2;
  GroupWorld world(options, 5);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  world.FreezeRank(0, Seconds(8));
  world.FreezeRank(1, Seconds(8));
  world.RunFor(Seconds(3));
  CHECK(EveryRank(world, {2, 3}, GroupState::kStalled));
  CHECK(world.RunUntilComplete(Seconds(20)));
  CHECK(world.violations().empty());
}

// The controller freezes, another one gets the lease and changes the map, and
// the first one resumes with its own plan. Guards against a map that changes
// back after seconds because the resumed controller does not check the time
// before it acts, or ranks obey old tokens.
TEST_CASE("a controller that wakes up after its lease changes nothing") {
  GroupWorld world(WorldOptions{}, 6);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  const std::uint32_t first = *world.holder();
  const FencingToken old = world.token();
  world.ChooseRandomMap();
  world.FreezeController(first, Seconds(9));
  world.RunFor(Seconds(6));
  REQUIRE(world.holder() != first);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  world.RunFor(Seconds(5));
  CHECK(world.controller(first).state() == GroupState::kOut);
  CHECK(world.token() > old);
  CHECK(world.rank(0).token() == world.token());
  CHECK(world.violations().empty());
}

// A rank restarts, and an order that was made for it before arrives. Guards
// against a rank that runs steps with weights that it doesn't have because the
// new process obeys an order for the previous one.
TEST_CASE(
    "orders for an earlier incarnation or with an old token are refused") {
  GroupWorld world(WorldOptions{}, 7);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  const View view = *world.rank(2).installed();
  const Incarnation before = view.members[2].incarnation;
  const FencingToken token = world.token();
  struct Row {
    const char* name;
    OrderHeader header;
  };
  const Row rows[] = {
      {"earlier incarnation",
       {GroupId("g"), RankIndex(2), before, FencingToken(99)}},
      {"other rank",
       {GroupId("g"), RankIndex(3), Incarnation(2), FencingToken(99)}},
      {"other group",
       {GroupId("h"), RankIndex(2), Incarnation(2), FencingToken(99)}}};
  world.RestartRank(2);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    world.Inject(2, ClaimOrder{row.header});
    CHECK(world.rank(2).token() == FencingToken());
  }
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  const OrderHeader old{GroupId("g"), RankIndex(2), Incarnation(2),
                        FencingToken(token.value() - 1)};
  world.Inject(2, ClaimOrder{old});
  world.Inject(2, SealOrder{old, view.id});
  CHECK(world.rank(2).token() == token);
  CHECK(world.violations().empty());
}

// A second map is requested while the first one is being prepared. Guards
// against a group that hangs between two maps because ranks wait for weights
// that the controller no longer grants.
TEST_CASE("a later map supersedes one that is being prepared") {
  GroupWorld world(WorldOptions{}, 8);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  for (int i = 0; i < 5; ++i) {
    world.ChooseRandomMap();
    world.RunFor(Milliseconds(30));
  }
  const placement::ExpertMap last =
      world.controller(*world.holder()).record().chosen;
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  CHECK(world.map() == last);
  CHECK(world.violations().empty());
}

// An engine reports weights of a model with more layers. Guards against an
// agent that stops during a map change because a key from outside is looked up
// in the map without a check.
TEST_CASE("an engine may hold experts that the map doesn't know") {
  RankOptions options;
  options.incarnation = Incarnation(1);
  RankMachine rank(options);
  const TimePoint now = TimeAt(Seconds(1));
  rank.Start(now);
  rank.Handle(EngineReset{{{placement::LayerIndex(9), ExpertIndex(9)}}}, now);
  PrepareOrder prepare;
  prepare.header.incarnation = Incarnation(1);
  prepare.header.token = FencingToken(1);
  prepare.view = {{FencingToken(1), 1}, MapVersion(1), {{}}};
  prepare.map = std::make_shared<const placement::ExpertMap>(
      placement::ExpertMap::RoundRobin(2, 2, 1, 2));
  const auto actions = rank.Handle(OrderReceived{prepare}, now);
  CHECK(std::holds_alternative<DropWeights>(actions.front()));
}

TEST_CASE("maps that the ranks can't hold are refused") {
  GroupWorld world(WorldOptions{}, 9);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  const MapVersion before = world.map_version();
  const placement::ExpertMap maps[] = {
      placement::ExpertMap(2, 6), placement::ExpertMap(3, 6),
      placement::ExpertMap::RoundRobin(2, 6, 6, 3),
      placement::ExpertMap::RoundRobin(2, 6, 7, 1)};
  for (const placement::ExpertMap& map : maps) {
    world.Choose(map);
  }
  world.RunFor(Seconds(1));
  CHECK(world.map_version() == before);
  CHECK(world.controller(*world.holder()).state() == GroupState::kServing);
}

// Two ranks lose contact with each other while the controller reaches both.
// Guards against a group that stalls forever, although all its ranks are up,
// because a rank counts as live as long as the controller receives its
// statuses.
TEST_CASE("ranks that can't reach each other are not kept in one view") {
  GroupWorld world(WorldOptions{}, 10);
  REQUIRE(world.RunUntilComplete(Seconds(10)));
  world.CutRanks(0, 4);
  CHECK(world.RunUntilMembers(5, Seconds(8)));
  CHECK(world.controller(*world.holder()).view()->members.front().rank ==
        RankIndex(0));
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace bilberryspool::groups
