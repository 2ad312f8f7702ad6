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

  // Returns the final answer to a send.
  AnswerCaller Final(std::size_t send) {
    REQUIRE(cluster.sends()[send].finals.size() == 1);
    return cluster.sends()[send].finals[0];
  }

  void CheckFinal(std::size_t send, FinalKind kind, FinalReason reason) {
    CHECK(Final(send).kind == kind);
    CHECK(Final(send).reason == reason);
  }

  // Calls `act` once, right before the first action of type `Action` is
  // executed.
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

// Guards against a second run, or a caller without the answer to its first
// send. It comes about if the caller loses the answer and sends the same id to
// another entry, which does not know of the first entry's request.
TEST_CASE("a resend gets the answer to the previous send") {
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

// Guards against a second run, or a permanently lost answer, after an entry
// forwarded a request and died. It comes about if only the dead entry knew what
// it had forwarded: the caller sends the request again through another entry,
// while it runs and later.
TEST_CASE("an entry dies after forwarding") {
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

// Guards against a request that never ran and can't be sent again for the whole
// window. It comes about if an entry dies between its claim and the forwarding,
// and no other send may take over the claim.
TEST_CASE("an entry dies before forwarding") {
  ScenarioFixture scenario;
  scenario.Before<SendAttempt>([&] { scenario.cluster.KillEntry("e0"); });
  scenario.Send("e0");
  scenario.cluster.Advance(Seconds(1));
  const std::size_t resend = scenario.Send("e1");
  scenario.cluster.Advance(Seconds(5));
  scenario.CheckFinal(resend, FinalKind::kAnswered, FinalReason::kFinished);
  scenario.CheckRuns(1);
}

// Guards against "not run" for a request that ran. It comes about if the
// agent's refusal of an attempt counts as proof for the request: an entry
// freezes for seconds after its claim, another one takes the claim over and
// runs the request, then the first entry resumes, is refused by the agent and
// has no other target.
TEST_CASE("a claim that was taken over proves nothing") {
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

// Guards against a request that runs on two targets or is wrongly reported as
// not run. It comes about if an agent dies before an attempt arrives, or while
// it runs, and after its restart reports "not run" without any records, or is
// not asked at all.
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

// Guards against callers being told "unknown" at each restart of an agent. It
// comes about as the new incarnation refuses the entry's old token, and this
// refusal alone proves nothing about the old incarnation. If the transport
// knows that there was no other copy, it is proof.
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

// Guards against work that starts minutes after its caller gave up and sent it
// again. It comes about if an entry freezes between its claim and the sending,
// as a frozen process does not notice that time has passed: the caller sends
// again after the window and is served, then the entry resumes.
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

// Guards against a second run of a request that the entry had not read before
// it froze. It comes about as the request waits in the entry's socket while the
// caller sends it again elsewhere: after the window the holders have dropped
// it, so that the claim of the resumed entry looks new.
TEST_CASE("a request that was unread while its entry was frozen") {
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

// Guards against a request that runs through two entries after a holder gave
// its vote twice. It comes about as the first claim has two of three votes
// while the third holder is cut off, one of the two restarts and loses its
// ledger, and the caller sends again through an entry that reaches the
// restarted and the third holder.
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

// Guards against a cut-off failure domain that refuses everything, or that runs
// work which runs on the other side too. It comes about if votes are required
// for idempotent requests, or are not required for others, while an entry
// reaches its agent but no other entry.
TEST_CASE("an isolated entry serves idempotent requests") {
  ScenarioFixture scenario;
  for (const char* other : {"e1", "e2", "e3", "e4"}) {
    scenario.cluster.network().Cut("e0", other);
  }
  const std::size_t maybe_resent = scenario.Send("e0");
  const std::size_t asserted_first = scenario.Send("e0", true);
  const std::size_t idempotent =
      *scenario.cluster.Send("read", "e0", true, false);
  scenario.cluster.Advance(Seconds(1));
  scenario.CheckFinal(maybe_resent, FinalKind::kUnknown,
                      FinalReason::kClaimUnavailable);
  scenario.CheckFinal(asserted_first, FinalKind::kNotRun,
                      FinalReason::kClaimUnavailable);
  CHECK(scenario.Final(idempotent).kind == FinalKind::kAnswered);
  scenario.CheckRuns(0);
}

// Guards against a caller that gets no answer, or a request that runs on a
// second target. It comes about if silence counts as "not run": the link
// between entry and agent is cut after the attempt was forwarded, and heals, or
// not, before the settle requests are exhausted.
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

// Guards against a second run after a change of the roster. It comes about if a
// request runs under one roster, the roster is replaced by one with other
// holders, and the caller sends the request again: the new holders do not know
// the key.
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
