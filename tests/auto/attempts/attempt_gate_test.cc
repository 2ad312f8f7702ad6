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

// The reason of a refusal that is final; fails on everything else.
RefusalReason FinalRefusal(const Admission& admission) {
  const auto* refusal = std::get_if<AttemptRefusal>(&admission);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->never_ran);
  return refusal->reason;
}

bool IsAdmitted(const Admission& admission) {
  return std::holds_alternative<Admitted>(admission);
}

TEST_CASE("an attempt starts once, with a token that is recent") {
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

// Symptom: callers are told "unknown" while the engine is down, though nothing
// of theirs ran. Sequence: the gate admits; the agent can't connect to the
// engine. Cause: no way to say that an admitted attempt was not handed over.
TEST_CASE("an attempt that never reached the engine did not run") {
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

// Symptom: work runs although its caller was told "not run".
// Sequence: the gate refuses an attempt for want of capacity; the entry says
// "not run"; a second copy of the frame arrives when there is room again.
// Cause: a refusal that is not remembered.
TEST_CASE("a refusal is final, also when its cause has gone") {
  AttemptGate gate({.capacity = 1}, Incarnation(1), TimeAt({}));
  const AdmissionToken token = gate.token(TimeAt({}));
  REQUIRE(IsAdmitted(gate.Admit(Start("a", token), TimeAt({}))));
  CHECK(FinalRefusal(gate.Admit(Start("b", token), TimeAt({}))) ==
        RefusalReason::kOverCapacity);
  gate.Finish(AttemptId("a"), {200, "done"});
  CHECK(FinalRefusal(gate.Admit(Start("b", token), TimeAt(Seconds(1)))) ==
        RefusalReason::kTombstone);
}

// Symptom: the entry tries elsewhere and the request runs twice.
// Sequence: the link is lost, the entry asks what became of the attempt, hears
// that it never came, and tries another target; then the frame arrives.
// Cause: an answer "never will" that nothing enforces.
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

// Symptom: "not run" for work that ran.
// Sequence: an attempt runs, the agent restarts, a second copy of the frame
// reaches the new incarnation, which knows nothing and refuses.
// Cause: a refusal taken as proof about an incarnation that it can't speak for.
TEST_CASE("a new incarnation vouches for nothing that came before") {
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

TEST_CASE("memory is bounded, and what it can't keep can't start") {
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
  // "a" was dropped, so its absence proves nothing; "b" kept its answer.
  const auto settled = [&](const char* id) {
    return gate.Settle({Start(id, token).attempt, true}, TimeAt({})).state;
  };
  CHECK(std::holds_alternative<SettledUnknown>(settled("a")));
  CHECK(std::get<SettledFinished>(settled("b")).outcome.body == "1234");
}

}  // namespace
}  // namespace bilberryspool::attempts
