#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/traffic/target_pool.h"

namespace bilberryspool::traffic {
namespace {

const ServiceId kService("model");
constexpr TimePoint kStart = TimeAt(Seconds(50));

TargetRecord Record(const std::string& target,
                    Standing standing = Standing::kReady,
                    std::uint64_t sequence = 1) {
  TargetRecord record;
  record.announcement.target = TargetId(target);
  record.announcement.service = kService;
  record.announcement.address = target + ":80";
  record.announcement.domain = FailureDomain("z1");
  record.announcement.slots = 4;
  record.announcement.standing = standing;
  record.announcement.sequence = sequence;
  return record;
}

TargetPool MakePool() {
  TargetPoolOptions options;
  options.domain = FailureDomain("z1");
  return {options, 7};
}

std::string Chosen(TargetPool& pool,
                   TimePoint now,
                   const std::set<TargetId>& tried = {}) {
  const auto outcome = pool.Choose(kService, tried, now);
  if (const auto* choice = std::get_if<Choice>(&outcome)) {
    return choice->target.value();
  }
  switch (std::get<NoChoice>(outcome)) {
    case NoChoice::kNone:
      return "none";
    case NoChoice::kEvacuated:
      return "evacuated";
    case NoChoice::kCold:
      return "cold";
    case NoChoice::kFull:
      return "full";
    case NoChoice::kPaused:
      return "paused";
    case NoChoice::kInCooldown:
      return "cooldown";
  }
  return "";
}

// Guards against requests to a failure domain that is about to lose its power.
TEST_CASE("targets in evacuated failure domains get no requests") {
  TargetPool pool = MakePool();
  TargetRecord other = Record("b");
  other.announcement.domain = FailureDomain("z2");
  pool.Update("c1", true, {Record("a"), other}, kStart);
  CHECK(pool.SetEvacuated({1, {FailureDomain("z1")}}));
  for (int i = 0; i < 4; ++i) {
    CHECK(Chosen(pool, kStart) == "b");
  }
  CHECK_FALSE(pool.IsUsable(TargetId("a")));
  CHECK(pool.SetEvacuated({2, {FailureDomain("z1"), FailureDomain("z2")}}));
  CHECK(Chosen(pool, kStart) == "evacuated");
  CHECK(pool.SetEvacuated({3, {FailureDomain("z2")}}));
  CHECK(Chosen(pool, kStart) == "a");
}

// Guards against more requests than a cold target tolerates, also from a
// gateway that has heard nothing for a while, and against refusals while it is
// warm.
TEST_CASE("only targets that are known to be warm get more than their share") {
  struct Row {
    std::string name;
    bool is_cold;
    Duration since_report;
    std::string third;
  };
  for (const Row& row :
       {Row{"cold", true, Seconds(0), "cold"},
        Row{"warm", false, Seconds(0), "a"},
        Row{"not heard of for a while", false, Seconds(4), "cold"}}) {
    CAPTURE(row.name);
    TargetPoolOptions options;
    options.started_at = kStart - Seconds(60);
    TargetPool pool(options, 7);
    pool.cold_starts().SetRates({{kService, 2.0}});
    pool.cold_starts().SetSeat({0, 1, true});
    TargetRecord record = Record("a");
    record.announcement.is_cold = row.is_cold;
    pool.Update("c1", true, {record}, kStart);
    const TimePoint now = kStart + row.since_report;
    CHECK(Chosen(pool, now) == "a");
    CHECK(Chosen(pool, now) == "a");
    CHECK(Chosen(pool, now) == row.third);
    CHECK(pool.TimeUntilColdStart(kService, now) == Milliseconds(1500));
  }
}

// Guards against streams that leave their target for one that can't serve them,
// or for none.
TEST_CASE("a request is only moved to a target that is well and has room") {
  struct Row {
    const char* name;
    void (*modify)(TargetPool& pool);
    const char* expected;
  };
  const Row rows[] = {
      {"well", [](TargetPool&) {}, "b"},
      {"full",
       [](TargetPool& pool) { pool.OnLoad(TargetId("b"), 6, 0, kStart); },
       "none"},
      {"slow",
       [](TargetPool& pool) {
         pool.SetSlow("c1", {{"b:80", 3.0}});
       },
       "none"},
      {"failed recently",
       [](TargetPool& pool) {
         Chosen(pool, kStart, {TargetId("a")});
         pool.OnEnded(TargetId("b"), TargetOutcome::kFailed, kStart);
       },
       "none"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    TargetPool pool = MakePool();
    pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
    row.modify(pool);
    const auto choice =
        pool.ChooseToMove(kService, {TargetId("a")}, kStart + Milliseconds(1));
    CHECK((choice ? choice->target.value() : "none") == row.expected);
  }
}

// Guards against places that stay taken by requests that were never sent.
TEST_CASE("a place that is not used is free again") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  const std::set<TargetId> tried{TargetId("a")};
  int places = 0;
  while (pool.ChooseToMove(kService, tried, kStart).has_value()) {
    ++places;
    REQUIRE(places < 100);
  }
  REQUIRE(places > 0);
  pool.OnNotSent(TargetId("b"));
  CHECK(pool.ChooseToMove(kService, tried, kStart).has_value());
  CHECK_FALSE(pool.ChooseToMove(kService, tried, kStart).has_value());
}

// Guards against ranks that get so much more than others that every step of
// their group takes longer: while the load is a small part of what cold targets
// tolerate, a gateway that has places at some of them only used just those.
TEST_CASE("places at cold targets decide only where they are scarce") {
  constexpr int kTargets = 24;
  TargetPoolOptions options;
  options.domain = FailureDomain("z1");
  options.started_at = kStart - Seconds(60);
  TargetPool pool(options, 7);
  std::vector<TargetRecord> records;
  records.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    records.push_back(Record("t" + std::to_string(i)));
  }
  pool.Update("c1", true, records, kStart);
  pool.cold_starts().SetRates({{kService, 24.0}});
  pool.cold_starts().SetSeat({0, 40, true});
  std::uint64_t places = 0;
  std::set<std::string> own;
  for (const TargetRecord& record : records) {
    const TargetId& target = record.announcement.target;
    const auto use = pool.cold_starts().UseOf(kService, target, kStart);
    places += use.places;
    if (use.places > 0) {
      own.insert(target.value());
    }
    pool.OnLoad(target, use.places > 0 ? 3 : 0, 0, kStart);
  }
  REQUIRE(own.size() > 4);
  REQUIRE(own.size() < kTargets);
  CHECK_FALSE(own.contains(Chosen(pool, kStart)));
  // This gateway sends more than half of what its places allow.
  const std::string busy = *own.begin();
  for (std::uint64_t i = 0; i < places; ++i) {
    pool.cold_starts().Take(kService, TargetId(busy), kStart);
  }
  const std::string chosen = Chosen(pool, kStart);
  CHECK(chosen != busy);
  CHECK(own.contains(chosen));
}

// Guards against sending more requests to a target than it accepts from all
// gateways together.
TEST_CASE(
    "a limited target gets its share and the others the remaining requests") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.limits().Adopt("c1", {{{TargetId("a"), Incarnation(0)}, 4.0, 1.0}},
                      kStart);
  std::map<std::string, int> counts;
  for (std::int64_t i = 0; i < 200; ++i) {
    const TimePoint now = kStart + Milliseconds(50 * i);
    const std::string chosen = Chosen(pool, now);
    ++counts[chosen];
    pool.OnEnded(TargetId(chosen), TargetOutcome::kGood, now);
  }
  CHECK(counts["a"] >= 5);
  CHECK(counts["a"] <= 11);
  CHECK(counts["a"] + counts["b"] == 200);
  CHECK_FALSE(pool.TimeUntilWithinLimit(kService, kStart).has_value());
}

TEST_CASE(
    "if all targets are limited, the time until the first is free is known") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.limits().Adopt("c1",
                      {{{TargetId("a"), Incarnation(0)}, 4.0, 0.5},
                       {{TargetId("b"), Incarnation(0)}, 4.0, 0.25}},
                      kStart);
  CHECK(Chosen(pool, kStart) == "full");
  const auto wait = pool.TimeUntilWithinLimit(kService, kStart);
  REQUIRE(wait.has_value());
  CHECK(*wait > Milliseconds(1990));
  CHECK(*wait < Milliseconds(2010));
  CHECK(Chosen(pool, kStart + *wait) == "a");
}

TEST_CASE("requests are spread over the targets up to a maximum load") {
  TargetPool pool = MakePool();
  CHECK(Chosen(pool, kStart) == "none");
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  std::map<std::string, int> counts;
  for (int i = 0; i < 10; ++i) {
    ++counts[Chosen(pool, kStart)];
  }
  CHECK(counts["a"] == 5);
  CHECK(counts["b"] == 5);
  CHECK(Chosen(pool, kStart) == "full");
}

// Guards against new work for a target that is leaving. One control node knows
// that it is, another one still reports the target as ready, and both reports
// have to be merged.
TEST_CASE("leaving is final, whichever control node reports it") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a", Standing::kLeaving, 4)}, kStart);
  pool.Update("c2", true, {Record("a", Standing::kReady, 3)}, kStart);
  CHECK(Chosen(pool, kStart) == "none");
  pool.Update("c2", false, {Record("a", Standing::kReady, 5)}, kStart);
  CHECK(Chosen(pool, kStart) == "none");
}

TargetRecord RecordOf(std::uint64_t incarnation,
                      std::uint64_t sequence,
                      const std::string& address,
                      Standing standing = Standing::kReady) {
  TargetRecord record = Record("a", standing, sequence);
  record.announcement.incarnation = Incarnation(incarnation);
  record.announcement.address = address;
  return record;
}

std::string AddressChosen(TargetPool& pool, TimePoint now) {
  const auto outcome = pool.Choose(kService, {}, now);
  const auto* choice = std::get_if<Choice>(&outcome);
  return choice == nullptr ? "none" : choice->address;
}

// Guards against a target that is not used after a restart under the same name,
// or is used at its old address. The announcements of the later start have
// lower sequence numbers, and the state of the earlier start was kept.
TEST_CASE("a later start takes the place of an earlier one") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {RecordOf(7, 40, "old:80", Standing::kGone)}, kStart);
  CHECK(AddressChosen(pool, kStart) == "none");
  pool.Update("c1", false, {RecordOf(9, 1, "new:80")}, kStart);
  CHECK(AddressChosen(pool, kStart) == "new:80");
  // Another control node still reports the earlier start.
  pool.Update("c2", true, {RecordOf(7, 40, "old:80", Standing::kGone)}, kStart);
  CHECK(AddressChosen(pool, kStart) == "new:80");
  // Failures of the earlier start do not count for the later one.
  pool.Update("c1", false, {Record("b")}, kStart);
  pool.OnEnded(TargetId("a"), TargetOutcome::kFailed, kStart);
  for (int i = 0; i < 3; ++i) {
    CHECK(AddressChosen(pool, kStart) == "b:80");
  }
  pool.Update("c1", false, {RecordOf(11, 1, "newest:80")}, kStart);
  CHECK(AddressChosen(pool, kStart) == "newest:80");
}

// Guards against the same failure after the clock of the target's VM has
// stepped back.
TEST_CASE("a lower incarnation is accepted once the other one is silent") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {RecordOf(9, 40, "old:80")}, kStart);
  pool.Update("c2", true, {RecordOf(9, 40, "old:80")}, kStart);
  pool.Update("c1", false, {RecordOf(5, 3, "new:80")}, kStart);
  CHECK(AddressChosen(pool, kStart) == "old:80");
  TargetRecord silent = RecordOf(9, 40, "old:80");
  silent.is_silent = true;
  pool.Update("c2", false, {silent}, kStart);
  pool.Update("c1", false, {RecordOf(5, 4, "new:80")}, kStart);
  CHECK(AddressChosen(pool, kStart) == "new:80");
}

TEST_CASE("a target is used last if all control nodes report it as silent") {
  TargetPool pool = MakePool();
  TargetRecord silent = Record("a");
  silent.is_silent = true;
  pool.Update("c1", true, {silent, Record("b")}, kStart);
  CHECK(Chosen(pool, kStart) == "b");
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
  // Another control node receives its announcements, so its load decides.
  pool.Update("c2", true, {Record("a")}, kStart);
  for (int i = 0; i < 3; ++i) {
    pool.OnEnded(TargetId("a"), TargetOutcome::kGood, kStart);
  }
  CHECK(Chosen(pool, kStart) == "a");
}

TEST_CASE("a target is in cooldown after a failure, longer after each one") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.OnEnded(TargetId("a"), TargetOutcome::kFailed, kStart);
  for (int i = 0; i < 3; ++i) {
    CHECK(Chosen(pool, kStart) == "b");
  }
  CHECK(Chosen(pool, kStart + Milliseconds(260)) == "a");
  pool.OnEnded(TargetId("a"), TargetOutcome::kFailed,
               kStart + Milliseconds(260));
  CHECK(Chosen(pool, kStart + Milliseconds(600)) == "b");
  // The first success ends the cooldown.
  pool.OnEnded(TargetId("a"), TargetOutcome::kGood, kStart + Seconds(1));
  CHECK(Chosen(pool, kStart + Seconds(1)) == "a");
}

// Guards against requests that are still refused seconds after a group has
// opened again. All targets refuse as full for a while, and the refusals were
// counted as load that only responses could take back.
TEST_CASE("a refusal as full only has effect for a short time") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a")}, kStart);
  CHECK(Chosen(pool, kStart) == "a");
  pool.OnEnded(TargetId("a"), TargetOutcome::kFull, kStart);
  CHECK(Chosen(pool, kStart) == "full");
  CHECK(Chosen(pool, kStart + Milliseconds(250)) == "a");
}

TargetRun RunOf(const std::string& target, std::uint64_t incarnation = 0) {
  return {TargetId(target), Incarnation(incarnation)};
}

// Guards against requests to a target that has asked this gateway for a pause:
// a refusal had an effect for 200 ms only, whatever the target asked for.
TEST_CASE("a paused target gets nothing, also if there is no other one") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
  CHECK(pool.OnPauseRequested(RunOf("a"), Seconds(3), kStart));
  pool.OnEnded(TargetId("a"), TargetOutcome::kFull, kStart);
  // Neither an answer that was under way nor an announcement ends the pause.
  pool.OnEnded(TargetId("a"), TargetOutcome::kGood, kStart + Milliseconds(300));
  pool.Update("c1", false, {Record("a", Standing::kReady, 2)},
              kStart + Milliseconds(400));
  pool.Update("c2", true, {Record("a", Standing::kReady, 3)},
              kStart + Milliseconds(500));
  const TimePoint end = kStart + Seconds(3);
  CHECK(Chosen(pool, end - Milliseconds(1)) == "b");
  CHECK(Chosen(pool, end - Milliseconds(1), {TargetId("b")}) == "paused");
  CHECK(Chosen(pool, end, {TargetId("b")}) == "a");
}

TEST_CASE("with all targets paused, the end of the first pause is known") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.OnPauseRequested(RunOf("a"), Seconds(30), kStart);
  CHECK_FALSE(pool.PausedTargetsOf(kService, kStart).are_all);
  pool.OnPauseRequested(RunOf("b"), Seconds(2), kStart);
  const auto paused = pool.PausedTargetsOf(kService, kStart + Seconds(1));
  CHECK(paused.are_all);
  CHECK(paused.count == 2);
  CHECK(paused.first_end_after == Seconds(1));
  CHECK(Chosen(pool, kStart + Seconds(1)) == "paused");
  CHECK(Chosen(pool, kStart + Seconds(2)) == "b");
  CHECK(pool.PausedTargetsOf(ServiceId("other"), kStart).count == 0);
}

// Guards against a service that is down for longer than its targets asked for.
TEST_CASE("a pause concerns one run of the target and no target that failed") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {RecordOf(7, 40, "old:80")}, kStart);
  CHECK_FALSE(pool.OnPauseRequested(RunOf("a", 5), Seconds(30), kStart));
  CHECK_FALSE(pool.OnPauseRequested(RunOf("x"), Seconds(30), kStart));
  CHECK(AddressChosen(pool, kStart) == "old:80");
  CHECK(pool.OnPauseRequested(RunOf("a", 7), Seconds(30), kStart));
  CHECK(AddressChosen(pool, kStart) == "none");
  pool.Update("c1", false, {RecordOf(9, 1, "new:80")}, kStart + Seconds(1));
  CHECK(AddressChosen(pool, kStart + Seconds(1)) == "new:80");
  // A target that failed lately may serve; a paused one has said that it won't.
  pool.Update("c1", false, {Record("b")}, kStart + Seconds(1));
  pool.OnPauseRequested(RunOf("a", 9), Seconds(3), kStart + Seconds(1));
  pool.OnEnded(TargetId("b"), TargetOutcome::kFailed, kStart + Seconds(1));
  CHECK(Chosen(pool, kStart + Seconds(1)) == "b");
}

// Guards against callers that are refused after a pause, as the paused target
// was taken to be as full as the others that had its requests meanwhile.
TEST_CASE("after its pause a target is not full because others are") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.OnPauseRequested(RunOf("a"), Seconds(3), kStart);
  const TimePoint end = kStart + Seconds(3);
  pool.OnLoad(TargetId("b"), 4, 6, end);
  CHECK(Chosen(pool, end) == "a");
  pool.OnLoad(TargetId("a"), 4, 6, end);
  CHECK(Chosen(pool, end) == "full");
}

// Guards against a removed record that takes the pause of the target with it.
TEST_CASE("a pause outlasts the record of a target that nobody reports") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a")}, kStart);
  pool.OnPauseRequested(RunOf("a"), Seconds(400), kStart);
  pool.Update("c1", true, {}, kStart);
  pool.Update("c1", true, {}, kStart + Seconds(200));
  CHECK(Chosen(pool, kStart + Seconds(200)) == "none");
  pool.Update("c1", true, {Record("a")}, kStart + Seconds(300));
  CHECK(Chosen(pool, kStart + Seconds(300)) == "paused");
}

// Guards against grants for a limited target that can't be used in its pause.
TEST_CASE("a limited target that is paused is not asked grants for") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.limits().Adopt("c1",
                      {{{TargetId("a"), Incarnation(0)}, 4.0, 0.5},
                       {{TargetId("b"), Incarnation(0)}, 4.0, 0.5}},
                      kStart);
  CHECK(pool.LimitedTargetsOf(kService, {}, kStart).targets.size() == 2);
  pool.OnPauseRequested(RunOf("a"), Seconds(3), kStart);
  const auto limited = pool.LimitedTargetsOf(kService, {}, kStart);
  REQUIRE(limited.targets.size() == 1);
  CHECK(limited.targets.front().run.target == TargetId("b"));
  CHECK(limited.are_all);
  // The limit of the paused target has room before its pause ends.
  pool.OnPauseRequested(RunOf("b"), Seconds(9), kStart);
  CHECK(pool.TimeUntilWithinLimit(kService, kStart) == Seconds(3));
}

// Guards against new requests for a target that has said in its answers that it
// leaves, while control nodes still report it as ready.
TEST_CASE("a target whose answers say that it leaves gets no more requests") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {RecordOf(7, 40, "old:80"), Record("b")}, kStart);
  CHECK_FALSE(pool.OnLeaving(RunOf("a", 5)));
  CHECK_FALSE(pool.OnLeaving(RunOf("x")));
  CHECK(pool.IsUsable(TargetId("a")));
  CHECK(pool.OnLeaving(RunOf("a", 7)));
  CHECK_FALSE(pool.OnLeaving(RunOf("a", 7)));
  // Announcements, an answer that was under way, and a control node that has
  // started again change nothing.
  pool.Update("c1", false, {RecordOf(7, 41, "old:80")}, kStart + Seconds(1));
  pool.Update("c2", true, {RecordOf(7, 42, "old:80")}, kStart + Seconds(2));
  pool.Update("c1", true, {RecordOf(7, 43, "old:80")}, kStart + Seconds(3));
  pool.OnEnded(TargetId("a"), TargetOutcome::kGood, kStart + Seconds(3));
  for (int i = 0; i < 5; ++i) {
    CHECK(Chosen(pool, kStart + Seconds(4)) == "b");
  }
  CHECK(Chosen(pool, kStart + Seconds(4), {TargetId("b")}) == "none");
  CHECK(pool.CountsOf(kService).leaving == 1);
  // A later run of the target is ready.
  pool.Update("c1", false, {RecordOf(9, 1, "new:80")}, kStart + Seconds(5));
  CHECK(AddressChosen(pool, kStart + Seconds(5)) == "new:80");
}

// Guards against the memory of targets that are gone.
TEST_CASE("a target that left is forgotten once nobody reports it") {
  TargetPool pool = MakePool();
  for (int i = 0; i < 50; ++i) {
    const std::string name = "t" + std::to_string(i);
    pool.Update("c1", true, {Record(name)}, kStart + i * Seconds(10));
    CHECK(pool.OnLeaving(RunOf(name)));
    CHECK(pool.CountsOf(kService).leaving <= 13);
  }
}

TEST_CASE("a target that was replaced at its address is not used") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a")}, kStart);
  CHECK(pool.IsUsable(TargetId("a")));
  pool.OnEnded(TargetId("a"), TargetOutcome::kReplaced, kStart);
  CHECK_FALSE(pool.IsUsable(TargetId("a")));
  CHECK(Chosen(pool, kStart) == "none");
}

TEST_CASE("the target with the lower load is chosen") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  for (int i = 0; i < 3; ++i) {
    CHECK(Chosen(pool, kStart, {TargetId("a")}) == "b");
  }
  CHECK(Chosen(pool, kStart) == "a");
  pool.OnLoad(TargetId("b"), 3, 0, kStart);
  pool.OnLoad(TargetId("a"), 4, 2, kStart);
  CHECK(Chosen(pool, kStart) == "b");
}

// Guards against all streams of a group having too long gaps. The slow rank
// gets fewer requests than the others, but a single request there is enough to
// slow down the group.
TEST_CASE("a slow target gets nothing while others may be used") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.SetSlow("c1", {{"a:80", 4.0}});
  for (int i = 0; i < 5; ++i) {
    CHECK(Chosen(pool, kStart) == "b");
  }
  CHECK(Chosen(pool, kStart) == "full");
  // It is used if there is no other target.
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
  pool.SetSlow("c1", {});
  CHECK(Chosen(pool, kStart) == "a");
}

TEST_CASE("requests move from a slow target if another has a free slot") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
  const TargetId a("a");
  CHECK_FALSE(pool.ShouldMoveRequests(a, {a}, kStart));
  pool.SetSlow("c1", {{"a:80", 4.0}});
  CHECK(pool.ShouldMoveRequests(a, {a}, kStart));
  CHECK_FALSE(pool.ShouldMoveRequests(TargetId("b"), {a}, kStart));
  CHECK_FALSE(pool.ShouldMoveRequests(a, {a, TargetId("b")}, kStart));
  for (int i = 0; i < 4; ++i) {
    CHECK(Chosen(pool, kStart) == "b");
  }
  CHECK_FALSE(pool.ShouldMoveRequests(a, {a}, kStart));
}

// Guards against further requests to a target whose VM is frozen. It has the
// fewest requests, because nothing that is sent to it gets a response.
TEST_CASE("an unresponsive target is chosen after all that respond") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  pool.SetSlow("c1", {{"a:80", kUnresponsivePace}});
  CHECK(pool.IsUnresponsive(TargetId("a")));
  CHECK_FALSE(pool.IsUnresponsive(TargetId("b")));
  CHECK(Chosen(pool, kStart) == "b");
  CHECK(Chosen(pool, kStart) == "b");
  // An unresponsive target is no reason to refuse.
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
}

TEST_CASE("a suspect target is chosen after those that respond") {
  TargetPool pool = MakePool();
  pool.Update("c1", true, {Record("a"), Record("b")}, kStart);
  CHECK(Chosen(pool, kStart, {TargetId("b")}) == "a");
  CHECK(Chosen(pool, kStart, {TargetId("a")}) == "b");
  pool.OnFirstByte(TargetId("b"), Milliseconds(50), kStart + Milliseconds(900));
  const TimePoint later = kStart + Milliseconds(1200);
  pool.OnBytesReceived(TargetId("b"), later);
  CHECK(pool.IsSuspect(TargetId("a"), later));
  CHECK(Chosen(pool, later) == "b");
  CHECK(Chosen(pool, later) == "b");
}

}  // namespace
}  // namespace bilberryspool::traffic
