#include "libs/routing/router.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace bilberryspool::routing {
namespace {

const ServiceId kDrafter("drafter");
const FailureDomain kSahab("sahab");
const TimePoint kStart = TimeAt(Seconds(100));

TargetView View(const std::string& name, std::uint32_t running = 0) {
  TargetView view;
  view.target = TargetId(name);
  view.domain = kSahab;
  view.services = {kDrafter};
  view.slots = 4;
  view.load.running = running;
  return view;
}

RouteRequest Request() {
  RouteRequest request;
  request.service = kDrafter;
  request.own_domain = kSahab;
  return request;
}

Router MakeRouter(const std::vector<TargetView>& views) {
  Router router(RouterOptions{}, 1);
  router.Handle(ConfigChanged{{Placement{kDrafter, true, {}}}, {}}, kStart);
  for (const TargetView& view : views) {
    router.Handle(TargetUpdated{view}, kStart);
  }
  return router;
}

void Run(Router& router,
         const std::string& attempt,
         const std::string& target,
         AttemptOutcome outcome,
         TimePoint now) {
  const AttemptId id(attempt);
  router.Handle(AttemptStarted{id, TargetId(target), kDrafter, {}}, now);
  router.Handle(AttemptFinished{id, outcome, std::nullopt}, now);
}

TEST_CASE("each exclusion is counted and gives its refusal reason") {
  struct Row {
    const char* name;
    void (*change)(TargetView&, RouteRequest&);
    Exclusion exclusion;
    NoTargetReason reason;
  };
  const Row rows[] = {
      {"draining",
       [](TargetView& view, RouteRequest&) {
         view.state = TargetState::kDraining;
       },
       Exclusion::kNotServing, NoTargetReason::kNoneServing},
      {"leaving",
       [](TargetView& view, RouteRequest&) {
         view.state = TargetState::kLeaving;
       },
       Exclusion::kNotServing, NoTargetReason::kNoneServing},
      {"stale",
       [](TargetView& view, RouteRequest&) {
         view.state = TargetState::kStale;
       },
       Exclusion::kNotServing, NoTargetReason::kNoneServing},
      {"group held",
       [](TargetView& view, RouteRequest&) { view.group_weight = 0.0; },
       Exclusion::kGroupHeld, NoTargetReason::kNoneServing},
      {"tried",
       [](TargetView& view, RouteRequest& request) {
         request.excluded = {view.target};
       },
       Exclusion::kAlreadyTried, NoTargetReason::kAllTried},
      {"adapter",
       [](TargetView&, RouteRequest& request) { request.adapter = "tamil"; },
       Exclusion::kAdapterMissing, NoTargetReason::kNoneServing},
      {"full", [](TargetView& view, RouteRequest&) { view.load.running = 9; },
       Exclusion::kAtLimit, NoTargetReason::kAllAtLimit}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    TargetView view = View("r1");
    RouteRequest request = Request();
    CHECK(std::holds_alternative<Selected>(
        MakeRouter({view}).Choose(request, kStart)));
    row.change(view, request);
    const Choice choice = MakeRouter({view}).Choose(request, kStart);
    REQUIRE(std::holds_alternative<NoTarget>(choice));
    const NoTarget& refusal = std::get<NoTarget>(choice);
    CHECK(refusal.reason == row.reason);
    CHECK(refusal.retry_after > Duration(0));
    CHECK(
        refusal.explanation.excluded[static_cast<std::size_t>(row.exclusion)] ==
        1);
  }
}

TEST_CASE("an unknown service and a target without placement are refused") {
  Router router = MakeRouter({View("r1")});
  RouteRequest request = Request();
  request.service = ServiceId("unknown");
  CHECK(std::get<NoTarget>(router.Choose(request, kStart)).reason ==
        NoTargetReason::kUnknownService);
  router.Handle(
      ConfigChanged{{Placement{kDrafter, false, {TargetId("r2")}}}, {}},
      kStart);
  CHECK(std::get<NoTarget>(router.Choose(Request(), kStart)).reason ==
        NoTargetReason::kNoneServing);
}

// Guards against herding: all entries send to one target, whose queue grows
// while the others are idle. A report says that the target is idle, and if
// requests sent since are not counted, everything until the next report goes
// there.
TEST_CASE("own requests sent since the report are counted") {
  Router router = MakeRouter({View("r1"), View("r2"), View("r3", 4)});
  std::map<std::string, int> sent;
  for (int i = 0; i < 8; ++i) {
    const Choice choice = router.Choose(Request(), kStart);
    const TargetId target = std::get<Selected>(choice).target;
    ++sent[target.value()];
    router.Handle(
        AttemptStarted{AttemptId(std::to_string(i)), target, kDrafter, {}},
        kStart);
  }
  CHECK(sent["r1"] == 4);
  CHECK(sent["r2"] == 4);
}

TEST_CASE("a report replaces own sends from before it was taken") {
  Router router = MakeRouter({View("r1")});
  const TargetId target("r1");
  router.Handle(AttemptStarted{AttemptId("1"), target, kDrafter, {}}, kStart);
  const TimePoint later = kStart + Seconds(2);
  router.Handle(AttemptStarted{AttemptId("2"), target, kDrafter, {}}, later);
  // The report was taken between the two attempts: 3 running, one of them
  // started here.
  router.Handle(LoadReported{target, LoadReport{3, 0, 0, Seconds(1)}}, later);
  CHECK(router.estimate(target)->corrected_load() == 4.0);
  // An older report that arrives later is ignored.
  router.Handle(LoadReported{target, LoadReport{9, 9, 0, Seconds(2)}}, later);
  CHECK(router.estimate(target)->corrected_load() == 4.0);
}

TEST_CASE("an attempt from before the target was removed isn't counted") {
  Router router = MakeRouter({View("r1")});
  const TargetId target("r1");
  router.Handle(AttemptStarted{AttemptId("1"), target, kDrafter, {}}, kStart);
  router.Handle(TargetRemoved{target}, kStart);
  router.Handle(TargetUpdated{View("r1")}, kStart);
  router.Handle(AttemptFinished{AttemptId("1")}, kStart);
  router.Handle(AttemptFinished{AttemptId("1")}, kStart);
  CHECK(router.estimate(target)->own_in_flight() == 0);
  CHECK(router.attempts_in_flight() == 0);
}

// Guards against most requests of a service failing within milliseconds. One
// target fails each request immediately while its health check still succeeds;
// it has no load, so a choice by load alone prefers it each time.
TEST_CASE("a target that fails fast is ejected, probed and restored") {
  Router router = MakeRouter({View("r1"), View("r2"), View("r3")});
  for (int i = 0; i < 5; ++i) {
    Run(router, std::to_string(i), "r1", AttemptOutcome::kFailed, kStart);
  }
  for (int i = 0; i < 50; ++i) {
    const Choice choice = router.Choose(Request(), kStart);
    CHECK(std::get<Selected>(choice).target != TargetId("r1"));
  }
  const TimePoint later = kStart + Seconds(6);
  RouteRequest unrepeatable = Request();
  unrepeatable.idempotent = false;
  CHECK(std::get<Selected>(router.Choose(unrepeatable, later)).target !=
        TargetId("r1"));
  const Choice probe = router.Choose(Request(), later);
  CHECK(std::get<Selected>(probe).target == TargetId("r1"));
  CHECK(std::get<Selected>(probe).explanation.rule == RouteRule::kProbe);
  router.Handle(AttemptStarted{AttemptId("p"), TargetId("r1"), kDrafter, {}},
                later);
  CHECK(std::get<Selected>(router.Choose(Request(), later)).target !=
        TargetId("r1"));
  router.Handle(AttemptFinished{AttemptId("p")}, later);
  CHECK(router.health().state(TargetId("r1"), later) ==
        HealthState::kSlowStart);
}

TEST_CASE("capacity is the share of the limits and of the free capacity") {
  struct Row {
    std::uint32_t running;
    double share;
    std::size_t capacity;
  };
  const Row rows[] = {
      {0, 1.0, 8}, {0, 0.25, 2}, {4, 0.25, 2}, {9, 0.5, 4}, {0, 0.3, 3}};
  for (const Row& row : rows) {
    const Router router =
        MakeRouter({View("r1", row.running), View("r2", row.running)});
    CHECK(router.Capacity(kDrafter, row.share, kStart) == row.capacity);
  }
  CHECK(MakeRouter({}).Capacity(kDrafter, 1.0, kStart) == 0);
}

}  // namespace
}  // namespace bilberryspool::routing
