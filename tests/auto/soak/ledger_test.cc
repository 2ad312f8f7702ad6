// Each case reports one violation to the ledger, or something allowed that
// looks like one, and checks the violations that it finds.

#include "tools/soak/ledger.h"

#include <doctest/doctest.h>

namespace bilberryspool::soak {
namespace {

using traffic::RequestKind;

TimePoint At(std::int64_t ms) {
  return TimeAt(Milliseconds(ms));
}

CallSent Call(const std::string& id, RequestKind kind, std::int64_t at_ms) {
  CallSent call;
  call.id = id;
  call.kind = kind;
  call.workspace = "w";
  call.path = "/x";
  call.body = "b";
  call.timeout = Seconds(4);
  call.at = At(at_ms);
  return call;
}

RunSeen Run(const std::string& id, std::int64_t at_ms) {
  RunSeen run;
  run.id = id;
  run.target = "t";
  run.workspace = "w";
  run.path = "/x";
  run.body = "b";
  run.at = At(at_ms);
  return run;
}

CallEnded Answered(int status, std::int64_t at_ms) {
  CallEnded ended;
  ended.ending = CallEnding::kAnswered;
  ended.status = status;
  ended.is_signed = true;
  ended.at = At(at_ms);
  return ended;
}

CallEnded Ended(CallEnding ending, std::int64_t at_ms) {
  CallEnded ended;
  ended.ending = ending;
  ended.at = At(at_ms);
  return ended;
}

FaultEvent Fault(FaultKind kind, std::uint32_t victim) {
  FaultEvent fault_event;
  fault_event.kind = kind;
  fault_event.victim = victim;
  return fault_event;
}

LedgerOptions ThreeEvents() {
  LedgerOptions options;
  options.events = 3;
  return options;
}

std::vector<std::string> Broken(const Ledger& ledger) {
  std::vector<std::string> promises;
  for (const Violation& violation : ledger.FindViolations()) {
    promises.push_back(violation.promise);
  }
  return promises;
}

using Promises = std::vector<std::string>;

TEST_CASE("a call that is served once is no violation") {
  Ledger ledger(ThreeEvents());
  ledger.OnSent(Call("a", RequestKind::kNonIdempotent, 0));
  ledger.OnRun(Run("a", 5));
  ledger.OnEnded("a", Answered(200, 30));
  CHECK(Broken(ledger).empty());
  CHECK(ledger.totals().served == 1);
}

TEST_CASE("violations of single calls") {
  struct Case {
    const char* name;
    RequestKind kind;
    int runs;
    CallEnded ended;
    Promises broken;
  };
  CallEnded unsigned_answer = Answered(200, 30);
  unsigned_answer.is_signed = false;
  CallEnded foreign = Answered(200, 30);
  foreign.is_own_body = false;
  CallEnded whole = Answered(200, 30);
  whole.events = {1, 2, 3};
  CallEnded torn = Answered(200, 30);
  torn.events = {1, 2};
  CallEnded doubled = Answered(200, 30);
  doubled.events = {1, 2, 2, 3};
  CallEnded broken_stream = Ended(CallEnding::kBroken, 30);
  broken_stream.events = {1, 2};
  const Case cases[] = {
      {"run twice",
       RequestKind::kNonIdempotent,
       2,
       Answered(200, 30),
       {"what may not be repeated runs once"}},
      {"repeatable, run twice",
       RequestKind::kIdempotent,
       2,
       Answered(200, 30),
       {}},
      {"refused, has run",
       RequestKind::kNonIdempotent,
       1,
       Answered(503, 30),
       {"what is refused has not run"}},
      {"failed, has run",
       RequestKind::kNonIdempotent,
       1,
       Answered(502, 30),
       {}},
      {"refused", RequestKind::kNonIdempotent, 0, Answered(503, 30), {}},
      {"served, never run",
       RequestKind::kIdempotent,
       0,
       Answered(200, 30),
       {"what is served has run"}},
      {"unsigned",
       RequestKind::kIdempotent,
       1,
       unsigned_answer,
       {"an answer is the target's own"}},
      {"another's body",
       RequestKind::kIdempotent,
       1,
       foreign,
       {"an answer is the target's own"}},
      {"silent",
       RequestKind::kIdempotent,
       1,
       Ended(CallEnding::kTimedOut, 5000),
       {"each caller is answered in time"}},
      {"whole stream", RequestKind::kStream, 1, whole, {}},
      {"stream that looks whole",
       RequestKind::kStream,
       1,
       torn,
       {"a stream that looks whole is whole"}},
      {"event twice",
       RequestKind::kStream,
       2,
       doubled,
       {"events come once and in order"}},
      {"stream that looks broken", RequestKind::kStream, 1, broken_stream, {}},
  };
  for (const Case& one : cases) {
    CAPTURE(one.name);
    Ledger ledger(ThreeEvents());
    ledger.OnSent(Call("a", one.kind, 0));
    for (int i = 0; i < one.runs; ++i) {
      ledger.OnRun(Run("a", 5 + i));
    }
    ledger.OnEnded("a", one.ended);
    CHECK(Broken(ledger) == one.broken);
  }
}

TEST_CASE("a request must reach its target unchanged") {
  Ledger ledger(ThreeEvents());
  ledger.OnSent(Call("a", RequestKind::kIdempotent, 0));
  RunSeen changed = Run("a", 5);
  changed.workspace = "another";
  ledger.OnRun(changed);
  ledger.OnEnded("a", Answered(200, 30));
  ledger.OnRun(Run("nobody's", 6));
  CHECK(Broken(ledger) == Promises{"a request reaches its target unchanged",
                                   "nothing runs that nobody asked for"});
}

TEST_CASE("only a fault of the call's own gateway excuses a timeout") {
  for (const std::uint32_t victim : {0U, 1U}) {
    Ledger ledger(ThreeEvents());
    ledger.OnSent(Call("a", RequestKind::kIdempotent, 1000));
    ledger.OnEnded("a", Ended(CallEnding::kTimedOut, 6000));
    ledger.OnFault(Fault(FaultKind::kFreezeGateway, victim), At(2000),
                   At(4000));
    CHECK(Broken(ledger).empty() == (victim == 0));
  }
}

TEST_CASE("planned work must not interrupt a request that reached a target") {
  struct Case {
    FaultKind beside;
    std::uint32_t victim;
    bool is_broken;
  };
  const Case cases[] = {
      {FaultKind::kReloadGateway, 1, true},  // also planned
      {FaultKind::kKillGateway, 1, true},    // another gateway
      {FaultKind::kKillGateway, 0, false},
      {FaultKind::kResetTarget, 3, false},
  };
  for (const Case& one : cases) {
    CAPTURE(NameOf(one.beside));
    Ledger ledger(ThreeEvents());
    ledger.OnSent(Call("a", RequestKind::kNonIdempotent, 1000));
    ledger.OnRun(Run("a", 1010));
    ledger.OnEnded("a", Ended(CallEnding::kBroken, 1500));
    ledger.OnFault(Fault(FaultKind::kStopGateway, 0), At(900), At(3000));
    ledger.OnFault(Fault(one.beside, one.victim), At(1200), At(1300));
    CHECK(Broken(ledger).empty() != one.is_broken);
  }
}

TEST_CASE("a target that left must get no new work") {
  struct Case {
    std::int64_t run_at_ms;
    bool is_frozen;  // a gateway is frozen meanwhile
    bool is_broken;
  };
  const Case cases[] = {
      {11'900, false, false}, {12'500, false, true}, {12'500, true, false}};
  for (const Case& one : cases) {
    Ledger ledger(ThreeEvents());
    ledger.OnLeaving("t", At(10'000));
    ledger.OnSent(Call("a", RequestKind::kIdempotent, one.run_at_ms - 5));
    ledger.OnRun(Run("a", one.run_at_ms));
    ledger.OnEnded("a", Answered(200, one.run_at_ms + 20));
    if (one.is_frozen) {
      ledger.OnFault(Fault(FaultKind::kFreezeGateway, 0), At(10'100),
                     At(12'400));
    }
    CHECK(Broken(ledger).empty() != one.is_broken);
  }
}

// Guards against a soak that excuses every request to a target that left before
// a fault, however long ago the fault was.
TEST_CASE("a target that left gets no new work after a fault, either") {
  struct Case {
    std::int64_t run_at_ms;
    std::int64_t fault_ended_ms;
    bool is_broken;
  };
  const Case cases[] = {
      {20'000, 10'900, true}, {20'000, 15'500, false}, {14'000, 10'900, false}};
  for (const Case& one : cases) {
    CAPTURE(one.run_at_ms);
    CAPTURE(one.fault_ended_ms);
    Ledger ledger(ThreeEvents());
    ledger.OnLeaving("t", At(10'000));
    ledger.OnSent(Call("a", RequestKind::kIdempotent, one.run_at_ms - 5));
    ledger.OnRun(Run("a", one.run_at_ms));
    ledger.OnEnded("a", Answered(200, one.run_at_ms + 20));
    ledger.OnFault(Fault(FaultKind::kKillAllControl, 0), At(10'001),
                   At(one.fault_ended_ms));
    CHECK(Broken(ledger).empty() != one.is_broken);
  }
}

TEST_CASE("a read must return the accepted configuration or a newer one") {
  struct Case {
    std::uint64_t read;
    std::int64_t asked_at_ms;
    bool is_broken;
  };
  const Case cases[] = {
      {5, 6000, false}, {6, 6000, false}, {4, 6000, true}, {4, 2500, false}};
  for (const Case& one : cases) {
    Ledger ledger(ThreeEvents());
    ledger.OnConfirmed(5, At(1000));
    ledger.OnRead({one.read, At(one.asked_at_ms)});
    CHECK(Broken(ledger).empty() != one.is_broken);
  }
}

TEST_CASE("retries beyond the budget are a violation") {
  for (const int repeats : {90, 120}) {
    Ledger ledger(ThreeEvents());
    for (int i = 0; i < repeats; ++i) {
      const std::string id = "r" + std::to_string(i);
      ledger.OnSent(Call(id, RequestKind::kIdempotent, i));
      ledger.OnRun(Run(id, i));
      ledger.OnRun(Run(id, i + 1));
      ledger.OnEnded(id, Answered(200, i + 2));
    }
    // The budget for 120 requests is 0.2 * 120 + 94 = 118 retries.
    CHECK(Broken(ledger).empty() == (repeats == 90));
  }
}

TEST_CASE("after the recovery calls must be served") {
  for (const int refused : {0, 3}) {
    Ledger ledger(ThreeEvents());
    ledger.OnRecovered(At(1000));
    for (int i = 0; i < 20; ++i) {
      const std::string id = "c" + std::to_string(i);
      ledger.OnSent(Call(id, RequestKind::kIdempotent, 1000 + i));
      if (i < refused) {
        ledger.OnEnded(id, Answered(503, 1100));
        continue;
      }
      ledger.OnRun(Run(id, 1050));
      ledger.OnEnded(id, Answered(200, 1100));
    }
    CHECK(Broken(ledger).empty() == (refused == 0));
  }
}

TEST_CASE("a process that exits without a fault is a violation") {
  Ledger ledger(ThreeEvents());
  ledger.OnUnexpectedExit("gateway-0");
  CHECK(Broken(ledger) == Promises{"no process ends by itself"});
}

}  // namespace
}  // namespace bilberryspool::soak
