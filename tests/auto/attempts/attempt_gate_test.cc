#include "libs/attempts/attempt_gate.h"

#include <doctest/doctest.h>

#include <string>

namespace bilberryspool::attempts {
namespace {

StartAttempt Start(const std::string& id, AdmissionToken token) {
  return {{AttemptId(id), TargetId("t"), token},
          {Workspace("w"), RequestId("r")},
          NodeId("e"),
          0};
}

// Returns the reason of a final refusal; fails on any other admission.
RefusalReason FinalRefusal(const Admission& admission) {
  const auto* refusal = std::get_if<AttemptRefusal>(&admission);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->never_ran);
  return refusal->reason;
}

bool IsAdmitted(const Admission& admission) {
  return std::holds_alternative<Admitted>(admission);
}

TEST_CASE("an attempt starts once and only with a valid token") {
  struct Row {
    Duration age;
    bool admitted;
  };
  const Row rows[] = {{Seconds(0), true},
                      {Seconds(19), true},
                      {Seconds(20), false},
                      {Seconds(600), false}};
  for (const Row& row : rows) {
    AttemptGate gate({}, Incarnation(1), TimeAt({}));
    const StartAttempt start = Start("a", gate.token(TimeAt({})));
    const TimePoint now = TimeAt(row.age);
    CHECK(IsAdmitted(gate.Admit(start, now)) == row.admitted);
    const Admission second = gate.Admit(start, now);
    CHECK(std::holds_alternative<AlreadyAdmitted>(second) == row.admitted);
  }
}

// Guards against callers being told "unknown" while the engine is down although
// nothing ran. It comes about if an agent that admitted an attempt, but can't
// connect to its engine, has no way to report that the attempt was not handed
// over.
TEST_CASE("a withdrawn attempt counts as not run") {
  AttemptGate gate({.capacity = 1}, Incarnation(1), TimeAt({}));
  const StartAttempt start = Start("a", gate.token(TimeAt({})));
  REQUIRE(IsAdmitted(gate.Admit(start, TimeAt({}))));
  gate.Withdraw(AttemptId("a"));
  CHECK(gate.running() == 0);
  const SettleAnswer settled =
      gate.Settle({start.attempt, false}, TimeAt(Seconds(1)));
  CHECK(std::holds_alternative<SettledNotRun>(settled.state));
  CHECK(FinalRefusal(gate.Admit(start, TimeAt(Seconds(1)))) ==
        RefusalReason::kTombstone);
}

// Guards against attempts that are handed to an engine in a pause that it has
// asked for.
TEST_CASE("no attempt starts in a pause of the engine") {
  AttemptGate gate({.capacity = 8}, Incarnation(1), TimeAt({}));
  const AdmissionToken token = gate.token(TimeAt({}));
  gate.Pause(Seconds(3), TimeAt({}));
  gate.Pause(Seconds(1), TimeAt(Seconds(1)));
  const auto in_pause = gate.Admit(Start("a", token), TimeAt(Seconds(2)));
  CHECK(FinalRefusal(in_pause) == RefusalReason::kPaused);
  CHECK(std::get<AttemptRefusal>(in_pause).retry_after == Seconds(1));
  CHECK(IsAdmitted(gate.Admit(Start("b", token), TimeAt(Seconds(3)))));
}

// Guards against work that runs although its caller was told "not run". It
// comes about if the gate does not remember a refusal for lack of capacity: a
// second copy of the frame arrives when there is capacity again.
TEST_CASE("a refusal stays final when its cause no longer applies") {
  AttemptGate gate({.capacity = 1}, Incarnation(1), TimeAt({}));
  const AdmissionToken token = gate.token(TimeAt({}));
  REQUIRE(IsAdmitted(gate.Admit(Start("a", token), TimeAt({}))));
  CHECK(FinalRefusal(gate.Admit(Start("b", token), TimeAt({}))) ==
        RefusalReason::kOverCapacity);
  gate.Finish(AttemptId("a"), {200, "done"});
  CHECK(FinalRefusal(gate.Admit(Start("b", token), TimeAt(Seconds(1)))) ==
        RefusalReason::kTombstone);
}

// Guards against a request that runs twice after a lost link. It comes about if
// the gate reports that an attempt never arrived and does not enforce it: the
// entry tries another target, and then the frame arrives.
TEST_CASE("an attempt that was settled before it arrived is refused") {
  AttemptGate gate({}, Incarnation(1), TimeAt({}));
  const StartAttempt start = Start("a", gate.token(TimeAt({})));
  const SettleAnswer seen = gate.Settle({start.attempt, false}, TimeAt({}));
  CHECK(std::holds_alternative<SettledNotSeen>(seen.state));
  const SettleAnswer answer = gate.Settle({start.attempt, true}, TimeAt({}));
  CHECK(std::holds_alternative<SettledNotRun>(answer.state));
  CHECK(FinalRefusal(gate.Admit(start, TimeAt({}))) ==
        RefusalReason::kTombstone);
}

// Guards against "not run" for work that ran. It comes about if a refusal by a
// new incarnation of the agent, which has no records, counts as proof: the
// attempt ran before the agent restarted, and a second copy of the frame
// reaches the new incarnation.
TEST_CASE("a new incarnation proves nothing about earlier attempts") {
  AttemptGate before({}, Incarnation(1), TimeAt({}));
  const StartAttempt start = Start("a", before.token(TimeAt({})));
  REQUIRE(IsAdmitted(before.Admit(start, TimeAt({}))));
  AttemptGate after({}, Incarnation(2), TimeAt({}));
  const Admission admission = after.Admit(start, TimeAt({}));
  const auto* refusal = std::get_if<AttemptRefusal>(&admission);
  REQUIRE(refusal != nullptr);
  CHECK_FALSE(refusal->never_ran);
  const SettleAnswer answer = after.Settle({start.attempt, true}, TimeAt({}));
  CHECK(std::holds_alternative<SettledUnknown>(answer.state));
}

TEST_CASE("an agent that leaves takes work for its grace only") {
  AttemptGate gate({.drain_grace_period = Seconds(3)}, Incarnation(1),
                   TimeAt({}));
  const AdmissionToken token = gate.token(TimeAt({}));
  gate.StartDraining(TimeAt({}));
  gate.StartDraining(TimeAt(Seconds(2)));
  CHECK(IsAdmitted(gate.Admit(Start("a", token), TimeAt(Seconds(2)))));
  CHECK(FinalRefusal(gate.Admit(Start("b", token), TimeAt(Seconds(3)))) ==
        RefusalReason::kLeaving);
  gate.Stop();
  CHECK(FinalRefusal(gate.Admit(Start("c", token), TimeAt(Seconds(3)))) ==
        RefusalReason::kStopped);
}

TEST_CASE("records are bounded, and attempts without a record can't start") {
  AttemptGate gate({.max_records = 2, .max_kept_total_bytes = 5},
                   Incarnation(1), TimeAt({}));
  const AdmissionToken token = gate.token(TimeAt({}));
  for (const char* id : {"a", "b"}) {
    REQUIRE(IsAdmitted(gate.Admit(Start(id, token), TimeAt({}))));
    gate.Finish(AttemptId(id), {200, "1234"});
  }
  CHECK(FinalRefusal(gate.Admit(Start("c", token), TimeAt({}))) ==
        RefusalReason::kMemoryFull);
  CHECK(FinalRefusal(gate.Admit(Start("c", token), TimeAt({}))) ==
        RefusalReason::kExpiredToken);
  const AdmissionToken fresh = gate.token(TimeAt({}));
  CHECK(IsAdmitted(gate.Admit(Start("d", fresh), TimeAt({}))));
  CHECK(gate.records() == 2);
  // The record of "a" was evicted, so its absence proves nothing; "b" kept its
  // answer.
  const auto settled = [&](const char* id) {
    return gate.Settle({Start(id, token).attempt, true}, TimeAt({})).state;
  };
  CHECK(std::holds_alternative<SettledUnknown>(settled("a")));
  CHECK(std::get<SettledFinished>(settled("b")).outcome.body == "1234");
}

}  // namespace
}  // namespace bilberryspool::attempts
