#include <doctest/doctest.h>

#include <string>

#include "auto/attempts/cluster.h"

namespace bilberryspool::attempts {
namespace {

constexpr char kKey[] = "order";

// Five entries and some agents, with one non-idempotent request "order".
class ScenarioFixture {
 public:
  explicit ScenarioFixture(ClusterOptions options = {}, std::size_t agents = 1)
      : cluster(options, 5, agents, 1) {}

  std::size_t Send(const std::string& entry, bool first = false) {
    return *cluster.Send(kKey, entry, false, first);
  }

  // What a send was told in the end.
  AnswerCaller Final(std::size_t send) {
    REQUIRE(cluster.sends()[send].finals.size() == 1);
    return cluster.sends()[send].finals[0];
  }

  void CheckFinal(std::size_t send, FinalKind kind, FinalReason reason) {
    CHECK(Final(send).kind == kind);
    CHECK(Final(send).reason == reason);
  }

  // Acts in place of the first action of a type, just before it is carried out.
  template <typename Action>
  void Before(std::function<void()> act) {
    cluster.on_action = [=, this](const RequestAction& action, std::size_t) {
      if (std::holds_alternative<Action>(action)) {
        const std::function<void()> once = act;
        cluster.on_action = nullptr;
        once();
      }
    };
  }

  void CheckRuns(std::size_t runs) {
    cluster.CheckAtEnd();
    CHECK(cluster.faults() == std::vector<std::string>{});
    CHECK(cluster.runs(kKey).size() == runs);
  }

  Cluster cluster;
};

ClusterOptions SlowWork() {
  ClusterOptions options;
  options.work = Seconds(1);
  return options;
}

// Symptom: a second run, or a caller without the first one's answer.
// Sequence: the caller loses the answer and sends the same id to another entry.
// Cause: entries that don't know of each other's requests.
TEST_CASE("a resend gets the answer of the send before") {
  ScenarioFixture scenario(SlowWork());
  const std::size_t first = scenario.Send("e0");
  scenario.cluster.Advance(Milliseconds(200));
  const std::size_t during = scenario.Send("e1");
  scenario.cluster.Advance(Seconds(5));
  const std::size_t after = scenario.Send("e2");
  scenario.cluster.Advance(Seconds(5));
  scenario.CheckFinal(first, FinalKind::kAnswered, FinalReason::kFinished);
  scenario.CheckFinal(during, FinalKind::kUnknown, FinalReason::kInProgress);
  CHECK(scenario.Final(during).retry_after > Duration{});
  scenario.CheckFinal(after, FinalKind::kAnswered, FinalReason::kEarlierAnswer);
  scenario.CheckRuns(1);
}

// Symptom: the request runs again, or its answer is lost for good.
// Sequence: the entry forwards the request and dies; the caller sends it again
// through another entry, while it runs and later.
// Cause: what was forwarded was known to the dead entry only.
TEST_CASE("the entry dies after forwarding") {
  ScenarioFixture scenario(SlowWork());
  scenario.Send("e0");
  scenario.cluster.Advance(Milliseconds(100));
  scenario.cluster.KillEntry("e0");
  const std::size_t during = scenario.Send("e1");
  scenario.cluster.Advance(Seconds(5));
  const std::size_t after = scenario.Send("e1");
  scenario.cluster.Advance(Seconds(5));
  scenario.CheckFinal(during, FinalKind::kUnknown, FinalReason::kInProgress);
  scenario.CheckFinal(after, FinalKind::kAnswered, FinalReason::kEarlierAnswer);
  scenario.CheckRuns(1);
}

// Symptom: a request that never ran can't be sent for the whole window.
// Sequence: the entry has its claim and dies before it forwards; the caller
// sends again through another entry.
// Cause: a claim whose owner is gone, and nobody who may take it over.
TEST_CASE("the entry dies before forwarding") {
  ScenarioFixture scenario;
  scenario.Before<SendAttempt>([&] { scenario.cluster.KillEntry("e0"); });
  scenario.Send("e0");
  scenario.cluster.Advance(Seconds(1));
  const std::size_t resend = scenario.Send("e1");
  scenario.cluster.Advance(Seconds(5));
  scenario.CheckFinal(resend, FinalKind::kAnswered, FinalReason::kFinished);
  scenario.CheckRuns(1);
}

// Symptom: "not run" for a request that ran.
// Sequence: the entry has its claim and freezes for seconds; another one takes
// the claim over and runs the request; the first one wakes up, is refused by
// the agent and has no other target.
// Cause: the agent's refusal is proof for the attempt, not for the request.
TEST_CASE("a claim that was taken over is no proof any more") {
  ScenarioFixture scenario;
  scenario.Before<SendAttempt>(
      [&] { scenario.cluster.FreezeEntry("e0", true); });
  const std::size_t first = scenario.Send("e0");
  scenario.cluster.Advance(Milliseconds(500));
  const std::size_t resend = scenario.Send("e1");
  scenario.cluster.Advance(Seconds(3));
  scenario.cluster.network().Thaw("e0");
  scenario.cluster.Advance(Seconds(5));
  CHECK(scenario.Final(first).kind != FinalKind::kNotRun);
  scenario.CheckFinal(resend, FinalKind::kAnswered, FinalReason::kFinished);
  scenario.CheckRuns(1);
}

// Symptom: a request runs on two targets, or is said not to have run.
// Sequence: the agent dies before the attempt arrives, or while it runs, and
// restarts with an empty memory.
// Cause: an agent that has forgotten says "not run", or nobody asks.
TEST_CASE("the agent dies before or after handing over") {
  struct Row {
    Duration after_start;
    std::size_t runs;
  };
  const Row rows[] = {{Duration{}, 0}, {Milliseconds(50), 1}};
  for (const Row& row : rows) {
    ScenarioFixture scenario(SlowWork());
    scenario.Before<SendAttempt>([&] {
      scenario.cluster.network().At(row.after_start,
                                    [&] { scenario.cluster.KillAgent("a0"); });
    });
    const std::size_t first = scenario.Send("e0");
    scenario.cluster.Advance(Milliseconds(500));
    scenario.cluster.RestartAgent("a0");
    scenario.cluster.Advance(Seconds(5));
    const std::size_t resend = scenario.Send("e1");
    scenario.cluster.Advance(Seconds(5));
    CHECK(scenario.Final(first).kind == FinalKind::kUnknown);
    CHECK(scenario.Final(resend).kind == FinalKind::kUnknown);
    scenario.CheckRuns(row.runs);
  }
}

// Symptom: callers are told "unknown" each time an agent restarts.
// Sequence: the agent restarts; the entry still has its old token; the new
// incarnation refuses.
// Cause: the refusal alone proves nothing about the old incarnation. But where
// the transport knows that there was no other copy, it does.
TEST_CASE("a restarted agent is tried again with a new token") {
  ClusterOptions options;
  options.transport_knows_copies = true;
  ScenarioFixture scenario(options);
  scenario.cluster.KillAgent("a0");
  scenario.cluster.network().Cut("a0", "e0");
  scenario.cluster.RestartAgent("a0");
  scenario.cluster.Advance(Milliseconds(10));
  scenario.cluster.network().Heal("a0", "e0");
  const std::size_t send = scenario.Send("e0");
  scenario.cluster.Advance(Seconds(5));
  CHECK(scenario.Final(send).kind == FinalKind::kAnswered);
  scenario.CheckRuns(1);
}

// Symptom: work starts minutes after its caller gave up and sent it again.
// Sequence: an entry has its claim and freezes right before it sends; the
// caller sends again after the window and is served; the entry wakes up.
// Cause: a frozen process does not know that time has passed.
TEST_CASE("an entry that was frozen for minutes can't start work") {
  for (const bool clock_stops : {false, true}) {
    ScenarioFixture scenario;
    scenario.Before<SendAttempt>(
        [&] { scenario.cluster.FreezeEntry("e0", clock_stops); });
    scenario.Send("e0");
    scenario.cluster.Advance(Seconds(70));
    const std::size_t resend = scenario.Send("e1");
    scenario.cluster.Advance(Seconds(50));
    scenario.cluster.network().Thaw("e0");
    scenario.cluster.Advance(Seconds(20));
    scenario.CheckFinal(resend, FinalKind::kAnswered, FinalReason::kFinished);
    scenario.CheckRuns(1);
  }
}

// Symptom: the same, for a request that the entry had not even read.
// Sequence: the entry freezes; the caller's request waits in its socket; the
// caller sends it again elsewhere; after the window the entry reads it.
// Cause: the holders have forgotten, so the claim looks new.
TEST_CASE("a request that lay unread while its entry was frozen") {
  for (const bool clock_stops : {false, true}) {
    ScenarioFixture scenario;
    scenario.cluster.FreezeEntry("e0", clock_stops);
    const std::size_t unread = scenario.Send("e0");
    const std::size_t resend = scenario.Send("e1");
    scenario.cluster.Advance(Seconds(120));
    scenario.cluster.network().Thaw("e0");
    scenario.cluster.Advance(Seconds(20));
    CHECK(scenario.Final(unread).kind == FinalKind::kUnknown);
    CHECK(scenario.Final(resend).kind == FinalKind::kAnswered);
    scenario.CheckRuns(1);
  }
}

// Symptom: one request runs through two entries.
// Sequence: the first claim has two of three votes, the third holder being cut
// off; one of the two restarts with an empty memory; the caller sends again
// through another entry, which reaches the restarted and the third holder.
// Cause: a vote that was forgotten is given again.
TEST_CASE("a holder that restarted does not vote again") {
  ScenarioFixture scenario(SlowWork());
  const std::vector<std::string> holders = scenario.cluster.HoldersOf(kKey);
  FakeNetwork& network = scenario.cluster.network();
  network.Cut(holders[0], holders[2]);
  const std::size_t first = scenario.Send(holders[0]);
  scenario.cluster.Advance(Seconds(2));
  scenario.cluster.KillEntry(holders[1]);
  scenario.cluster.RestartEntry(holders[1]);
  const std::size_t resend = scenario.Send(holders[2]);
  scenario.cluster.Advance(Seconds(8));
  CHECK(scenario.Final(first).kind == FinalKind::kAnswered);
  scenario.CheckFinal(resend, FinalKind::kUnknown,
                      FinalReason::kClaimUnavailable);
  CHECK(scenario.Final(resend).retry_after > Seconds(30));
  scenario.CheckRuns(1);
}

// Symptom: a failure domain that is cut off refuses everything, or runs work
// that runs on the other side too.
// Sequence: an entry reaches its agent but no other entry; requests of both
// kinds arrive.
// Cause: votes asked for where none are needed, or not where they are.
TEST_CASE("an entry that reaches no other serves what may be repeated") {
  ScenarioFixture scenario;
  for (const char* other : {"e1", "e2", "e3", "e4"}) {
    scenario.cluster.network().Cut("e0", other);
  }
  const std::size_t maybe_resent = scenario.Send("e0");
  const std::size_t vouched = scenario.Send("e0", true);
  const std::size_t idempotent =
      *scenario.cluster.Send("read", "e0", true, false);
  scenario.cluster.Advance(Seconds(1));
  scenario.CheckFinal(maybe_resent, FinalKind::kUnknown,
                      FinalReason::kClaimUnavailable);
  scenario.CheckFinal(vouched, FinalKind::kNotRun,
                      FinalReason::kClaimUnavailable);
  CHECK(scenario.Final(idempotent).kind == FinalKind::kAnswered);
  scenario.CheckRuns(0);
}

// Symptom: a caller hangs, or its request runs on a second target.
// Sequence: the link between entry and agent is cut once the attempt has been
// forwarded; it heals, or not, before the questions run out.
// Cause: silence taken for "not run".
TEST_CASE("the link to the agent is cut after forwarding") {
  for (const bool heals : {true, false}) {
    ScenarioFixture scenario(SlowWork(), 2);
    scenario.Send("e0");
    scenario.cluster.Advance(Milliseconds(100));
    for (const char* agent : {"a0", "a1"}) {
      scenario.cluster.network().Cut("e0", agent);
      scenario.cluster.network().At(Seconds(heals ? 2 : 100), [&, agent] {
        scenario.cluster.network().Heal("e0", agent);
      });
    }
    scenario.cluster.Advance(Seconds(10));
    scenario.CheckFinal(
        0, heals ? FinalKind::kAnswered : FinalKind::kUnknown,
        heals ? FinalReason::kFinished : FinalReason::kTargetLost);
    scenario.CheckRuns(1);
  }
}

// Symptom: one request runs twice around a change of the roster.
// Sequence: a request runs under one roster; the roster is replaced by one with
// other holders; the caller sends it again.
// Cause: the new holders have never heard of the key.
TEST_CASE("a request is known across a change of the roster") {
  ScenarioFixture scenario;
  scenario.cluster.ChangeRoster({"e0", "e1", "e2"});
  scenario.cluster.Advance(Seconds(70));
  scenario.Send("e0");
  scenario.cluster.Advance(Seconds(5));
  scenario.cluster.ChangeRoster({"e3", "e4"});
  scenario.cluster.Advance(Seconds(6));
  const std::size_t resend = scenario.Send("e4");
  scenario.cluster.Advance(Seconds(5));
  scenario.CheckFinal(resend, FinalKind::kAnswered,
                      FinalReason::kEarlierAnswer);
  scenario.CheckRuns(1);
}

}  // namespace
}  // namespace bilberryspool::attempts
