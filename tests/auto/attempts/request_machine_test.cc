#include "libs/attempts/request_machine.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace bilberryspool::attempts {
namespace {

const AdmissionToken kToken{Incarnation(1), TokenGeneration(0), Epoch(1)};

// Drives one machine and records its actions.
class MachineFixture {
 public:
  void Begin(bool idempotent, bool first_send = false) {
    RequestSpec spec{{Workspace("w"), RequestId("r")},
                     Fingerprint(1),
                     {NodeId("e"), Incarnation(1), ClaimNumber(1)},
                     idempotent,
                     first_send,
                     TimeAt(Seconds(30))};
    if (!idempotent) {
      spec.holders = {{RosterVersion(1), {NodeId("h1"), NodeId("h2")}}};
    }
    machine.emplace(RequestMachineOptions{}, spec);
    Feed(RequestStarted{});
  }

  void Feed(const RequestEvent& event, Duration at = Seconds(1)) {
    for (RequestAction& action : machine->Handle(event, TimeAt(at))) {
      if (const auto* chunk = std::get_if<RelayChunk>(&action)) {
        text += chunk->data;
      }
      actions.push_back(std::move(action));
    }
  }

  void Choose(const std::string& target, bool can_continue = true) {
    Feed(TargetChosen{TargetId(target), kToken, can_continue});
  }

  void Vote(const ClaimVerdict& verdict) {
    const ClaimRequest request = Last<SendClaim>()->request;
    for (const char* holder : {"h1", "h2"}) {
      Feed(ClaimAnswered{{request.key, request.claimant, request.round,
                          NodeId(holder), verdict}});
    }
  }

  void ConfirmRelease(bool released) {
    const ReleaseClaim release = Last<SendRelease>()->release;
    for (const char* holder : {"h1", "h2"}) {
      Feed(ReleaseAnswered{{release, NodeId(holder), released}});
    }
  }

  void Settle(const SettleState& state) {
    const AttemptId id = Last<SendSettle>()->request.attempt.attempt;
    Feed(SettleAnswered{{id, state}});
  }

  AttemptId attempt() const {
    return Last<SendAttempt>()->start.attempt.attempt;
  }

  template <typename Action>
  const Action* Last() const {
    const Action* last = nullptr;
    for (const RequestAction& action : actions) {
      const auto* match = std::get_if<Action>(&action);
      last = match != nullptr ? match : last;
    }
    return last;
  }

  template <typename Action>
  std::size_t Count() const {
    std::size_t count = 0;
    for (const RequestAction& action : actions) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
  }

  bool Ended(FinalKind kind, FinalReason reason) const {
    const auto* answer = Last<AnswerCaller>();
    return Count<AnswerCaller>() == 1 && answer->kind == kind &&
           answer->reason == reason;
  }

  std::optional<RequestMachine> machine;
  std::vector<RequestAction> actions;
  std::string text;
};

// Guards against an answer with a duplicated or missing part. It comes about if
// a stream whose link broke is restarted from the beginning, or if chunks are
// accepted without regard to their offset: the last chunks of the old link
// still arrive after the stream was resumed.
TEST_CASE_FIXTURE(MachineFixture, "a broken stream resumes at its offset") {
  Begin(true);
  Choose("t1");
  Feed(AttemptHead{attempt(), 200});
  Feed(AttemptChunk{attempt(), 0, "one "});
  Feed(LinkLost{attempt()});
  Settle(SettledRunning{});
  REQUIRE(Last<ResumeAttempt>() != nullptr);
  CHECK(Last<ResumeAttempt>()->offset == 4);
  Feed(AttemptChunk{attempt(), 2, "e two"});
  Feed(AttemptChunk{attempt(), 4, "two three"});
  Feed(AttemptFinished{attempt(), 13});
  CHECK(text == "one two three");
  CHECK(Count<RelayHead>() == 1);
  CHECK(Ended(FinalKind::kAnswered, FinalReason::kFinished));
}

TEST_CASE_FIXTURE(MachineFixture,
                  "an answer with a missing part is completed by settling") {
  Begin(true);
  Choose("t1");
  Feed(AttemptChunk{attempt(), 0, "one "});
  SUBCASE("chunk missing") {
    Feed(AttemptChunk{attempt(), 8, "three"});
  }
  SUBCASE("end missing") {
    Feed(AttemptFinished{attempt(), 13});
  }
  CHECK(Count<SendSettle>() == 1);
  Settle(SettledFinished{{200, "one two three"}});
  CHECK(text == "one two three");
  CHECK(Ended(FinalKind::kAnswered, FinalReason::kFinished));
}

TEST_CASE_FIXTURE(MachineFixture,
                  "a broken stream that can't be continued ends as broken") {
  Begin(true);
  Choose("t1", false);
  Feed(AttemptChunk{attempt(), 0, "one "});
  Feed(LinkLost{attempt()});
  Settle(SettledUnknown{});
  CHECK(Ended(FinalKind::kUnknown, FinalReason::kStreamBroken));
  CHECK(Count<SendAttempt>() == 1);
}

// Guards against a caller that gets text of another attempt. It comes about if
// answers are matched by request instead of by attempt: the link of the first
// attempt is silent, a second one answers, then chunks of the first arrive
// late.
TEST_CASE_FIXTURE(MachineFixture,
                  "late answers of another attempt are dropped") {
  Begin(true);
  Choose("t1");
  const AttemptId first = attempt();
  Feed(RequestTick{}, Seconds(4));
  CHECK(Last<Route>()->excluded == std::vector{TargetId("t1")});
  Choose("t2");
  CHECK(attempt() != first);
  Feed(AttemptChunk{first, 0, "late"});
  Feed(AttemptRefused{first, RefusalReason::kStopped, true});
  CHECK(machine->dropped_events() == 2);
  Feed(AttemptChunk{attempt(), 0, "right"});
  Feed(AttemptFinished{attempt(), 5});
  CHECK(text == "right");
  CHECK(Ended(FinalKind::kAnswered, FinalReason::kFinished));
}

TEST_CASE_FIXTURE(MachineFixture, "non-idempotent work is retried on proof") {
  struct Row {
    const char* name;
    RequestEvent event;
    bool retried;
  };
  Begin(false);
  Choose("t1");
  CHECK(Count<SendAttempt>() == 0);
  Vote(ClaimGranted{});
  const AttemptId id = attempt();
  const Row rows[] = {
      {"proven", AttemptRefused{id, RefusalReason::kLeaving, true}, true},
      {"not proven",
       AttemptRefused{id, RefusalReason::kOtherIncarnation, false}, false},
      {"expired token", AttemptRefused{id, RefusalReason::kExpiredToken, true},
       false},
      {"failed", AttemptFailed{id}, false}};
  const MachineFixture before = *this;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MachineFixture run = before;
    run.Feed(row.event);
    CHECK((run.Count<Route>() == 2) == row.retried);
    CHECK((run.Count<AnswerCaller>() == 0) == row.retried);
  }
  Feed(rows[0].event);
  Choose("t2");
  CHECK(Last<SendClaim>()->request.round == ClaimRound(2));
  Vote(ClaimGranted{});
  CHECK(Count<SendAttempt>() == 2);
}

// Answers to a caller that can't be served now; "not run" requires proof.
TEST_CASE_FIXTURE(MachineFixture, "not run is answered only on proof") {
  struct Row {
    bool first_send;
    ClaimVerdict verdict;
    bool released;
    FinalKind kind;
    FinalReason reason;
  };
  const ClaimAbstained abstained{AbstainReason::kRestarted, Seconds(9)};
  const Row rows[] = {
      {false, ClaimGranted{}, true, FinalKind::kNotRun, FinalReason::kNoTarget},
      {false, ClaimGranted{}, false, FinalKind::kUnknown,
       FinalReason::kNoTarget},
      {true, ClaimGranted{}, true, FinalKind::kNotRun, FinalReason::kNoTarget},
      {false, abstained, true, FinalKind::kUnknown,
       FinalReason::kClaimUnavailable},
      {false, ClaimMismatch{}, true, FinalKind::kUnknown,
       FinalReason::kBodyMismatch},
      {false, ClaimFinished{{200, "x"}}, true, FinalKind::kAnswered,
       FinalReason::kEarlierAnswer},
      {false, ClaimFinished{{200, std::nullopt}}, true, FinalKind::kUnknown,
       FinalReason::kAnswerNotKept}};
  for (const Row& row : rows) {
    MachineFixture run;
    run.Begin(false, row.first_send);
    run.Feed(NoTarget{Seconds(2)});
    if (run.Last<SendClaim>() != nullptr) {
      run.Vote(row.verdict);
    }
    if (run.Last<SendRelease>() != nullptr) {
      run.ConfirmRelease(row.released);
    }
    CHECK(run.Ended(row.kind, row.reason));
    CHECK(run.Count<SendAttempt>() == 0);
  }
}

TEST_CASE_FIXTURE(MachineFixture,
                  "a disconnected caller cancels only idempotent attempts") {
  Begin(true);
  Choose("t1");
  Feed(CallerDisconnected{});
  CHECK(Count<CancelAttempt>() == 1);
  CHECK(machine->done());

  MachineFixture other;
  other.Begin(false);
  other.Choose("t1");
  other.Vote(ClaimGranted{});
  other.Feed(CallerDisconnected{});
  CHECK_FALSE(other.machine->done());
  other.Feed(AttemptChunk{other.attempt(), 0, "done"});
  other.Feed(AttemptFinished{other.attempt(), 4});
  CHECK(other.Last<SendFinish>()->finish.outcome.body == "done");
  CHECK(other.Count<AnswerCaller>() == 0);
}

// Guards against requests that are refused by an entry that has just started,
// or while the control members change, although the holders are reachable: they
// are not known yet.
TEST_CASE("a claim waits for a roster that is not known yet") {
  struct Row {
    const char* name;
    bool is_any_known;
  };
  for (const Row& row : {Row{"no roster", false}, Row{"an older one", true}}) {
    CAPTURE(row.name);
    MachineFixture fixture;
    fixture.Begin(/*idempotent=*/false, /*first_send=*/true);
    if (!row.is_any_known) {
      fixture.Feed(HoldersChanged{{}});
    }
    fixture.Choose("t");
    if (row.is_any_known) {
      fixture.Vote(ClaimAbstained{AbstainReason::kStaleRoster, Duration{}});
    }
    REQUIRE(fixture.Last<AnswerCaller>() == nullptr);
    fixture.Feed(
        HoldersChanged{{{RosterVersion(2), {NodeId("h1"), NodeId("h2")}}}});
    fixture.Vote(ClaimGranted{});
    CHECK(fixture.Last<SendAttempt>() != nullptr);
  }
}

TEST_CASE("a claim whose roster does not arrive fails after the roster wait") {
  MachineFixture fixture;
  fixture.Begin(/*idempotent=*/false, /*first_send=*/true);
  fixture.Feed(HoldersChanged{{}});
  fixture.Choose("t");
  REQUIRE(fixture.Last<AnswerCaller>() == nullptr);
  const TimePoint end = *fixture.machine->next_deadline();
  CHECK(end - TimeAt(Seconds(1)) == RequestMachineOptions{}.roster_wait);
  fixture.Feed(RequestTick{}, end - TimeAt(Duration{}));
  REQUIRE(fixture.Last<AnswerCaller>() != nullptr);
  CHECK(fixture.Last<AnswerCaller>()->reason == FinalReason::kClaimUnavailable);
}

// Guards against waiting for holders that can't vote before their window ends.
TEST_CASE("a claim that holders abstain from fails at once") {
  MachineFixture fixture;
  fixture.Begin(/*idempotent=*/false, /*first_send=*/true);
  fixture.Choose("t");
  fixture.Vote(ClaimAbstained{AbstainReason::kRestarted, Seconds(60)});
  REQUIRE(fixture.Last<AnswerCaller>() != nullptr);
  CHECK(fixture.Last<AnswerCaller>()->retry_after == Seconds(60));
}

}  // namespace
}  // namespace bilberryspool::attempts
