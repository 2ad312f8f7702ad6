#include "plugins/operators/statement_runner.h"

#include <doctest/doctest.h>

#include <cstdlib>

#include "auto/operators/runner_fixture.h"
#include "libs/base/random.h"
#include "libs/language/parser.h"
#include "libs/language/rendering.h"

namespace bilberryspool::operators {
namespace {

using control::ControlFailure;
using control::ControlFailureKind;
using language::AnswerStatus;

TEST_CASE("each statement gets its status and text") {
  struct Row {
    const char* statement;
    AnswerStatus status;
    // The answer contains each of them.
    std::vector<const char*> texts;
  };
  const Row rows[] = {
      {"declare workspace kiln weight 4",
       AnswerStatus::kDone,
       {"accepted at version 2, in force on 9 of 9 nodes"}},
      {"allow service other on any",
       AnswerStatus::kRefused,
       {"refused: ", "other"}},
      {"drain target t1 at version 9",
       AnswerStatus::kRefused,
       {"refused: ", "version"}},
      {"declare service x fast",
       AnswerStatus::kInvalid,
       {"column 19: expected \"engine\" or \"plain\", found \"fast\""}},
      {"", AnswerStatus::kInvalid, {"column 1: expected"}},
      {"plan drain target t1",
       AnswerStatus::kDone,
       {"would be accepted", "create"}},
      {"plan remove service other",
       AnswerStatus::kRefused,
       {"would be refused"}},
      {"wait version 1",
       AnswerStatus::kDone,
       {"version 1 is in force on 9 of 9 nodes"}},
      {"wait version 1 timeout 3000s", AnswerStatus::kInvalid, {"300 s"}},
      {"show targets",
       AnswerStatus::kDone,
       {"t1", "t2", "serving", "entry-1",
        "as of version 1, vouched for by the leader 0.2 s ago"}},
      {"show targets where domain = marka and running > 4",
       AnswerStatus::kDone,
       {"t2"}},
      {"show targets where colour = red",
       AnswerStatus::kInvalid,
       {"there is no column colour"}},
      {"show domains", AnswerStatus::kDone, {"sahab", "marka", "yes"}},
      {"show services where offered = 2",
       AnswerStatus::kDone,
       {"drafter", "kim"}},
      {"show members",
       AnswerStatus::kDone,
       {"voter", "awaiting admission", "this entry: leader, term 3"}},
      {"show version", AnswerStatus::kDone, {"digest", "applied 1"}},
      {"show config", AnswerStatus::kDone, {"declare service drafter engine"}},
      {"show request \"r1\"",
       AnswerStatus::kDone,
       {"answered, 1 attempt on t1"}},
      {"show request \"r2\"", AnswerStatus::kDone, {"knows nothing"}},
      {"why target t1",
       AnswerStatus::kDone,
       {"offered: serving", "last heard 0.5 s ago, by this entry",
        "5 running, 1 queued of 16 slots, 0.8 s old"}},
      {"why target t7", AnswerStatus::kDone, {"never announced itself"}},
      {"why service drafter",
       AnswerStatus::kDone,
       {"t1", "t2", "routed: request r1 to t1: least work of 2 targets",
        "last changed at version 1 by kim", "may run on any"}},
      {"why service other", AnswerStatus::kDone, {"isn't declared"}},
      {"why group g1", AnswerStatus::kDone, {"isn't declared"}},
      {"why workspace w", AnswerStatus::kDone, {"isn't declared"}},
      {"why request \"r1\"", AnswerStatus::kDone, {"1 attempt"}},
      {"help", AnswerStatus::kDone, {"drain|undrain", "show config|domains"}},
  };
  for (const Row& row : rows) {
    RunnerFixture fixture;
    const StatementResult result = fixture.Run(row.statement);
    const std::string text = language::RenderText(result.answer);
    CAPTURE(row.statement);
    CAPTURE(text);
    CHECK(result.answer.status == row.status);
    for (const char* part : row.texts) {
      CHECK(text.find(part) != std::string::npos);
    }
  }
}

TEST_CASE("filters omit rows that don't match") {
  RunnerFixture fixture;
  const std::string text = fixture.TextOf("show targets where domain = marka");
  CHECK(text.find("t2") != std::string::npos);
  CHECK(text.find("t1") == std::string::npos);
}

TEST_CASE("explanations of a drain and a pin name the operator") {
  RunnerFixture fixture;
  fixture.Run(
      "declare group g1 service drafter ranks 1 layers 1 experts 8 "
      "members t1; pin group g1 layer 0 expert 7 to rank 0");
  fixture.Run("drain domain marka");
  const std::string target = fixture.TextOf("why target t2");
  CHECK(target.find("not offered: drained") != std::string::npos);
  CHECK(target.find("drained as domain marka by kim at version 3") !=
        std::string::npos);
  CHECK(fixture.TextOf("show targets where offered = yes").find("t2") ==
        std::string::npos);
  CHECK(fixture.TextOf("show services where offered = 1").find("drafter") !=
        std::string::npos);
  const std::string group = fixture.TextOf("why group g1");
  CAPTURE(group);
  CHECK(group.find("t1") != std::string::npos);
  CHECK(group.find("t2") == std::string::npos);
  CHECK(group.find("to rank 0 by kim at version 2") != std::string::npos);
}

TEST_CASE("a group is shown by the latest report of its controller") {
  RunnerFixture fixture;
  fixture.Run("declare group g1 service drafter ranks 4 layers 1 experts 8");
  CHECK(fixture.TextOf("show groups").find("no controller was heard") !=
        std::string::npos);
  control::GroupReport report;
  report.group = GroupId("g1");
  report.map = MapVersion(7);
  report.state = "stalled";
  report.why = "a member is lost";
  report.ranks = {RankIndex(0), RankIndex(3)};
  report.decision = "nothing gains enough";
  fixture.control.reports[report.group] = {report, fixture.now - Seconds(3)};
  CHECK(fixture.TextOf("show groups where map = 7").find("a member is lost") !=
        std::string::npos);
  CHECK(fixture.TextOf("show groups where state = out").find("g1") ==
        std::string::npos);
  const std::string why = fixture.TextOf("why group g1");
  CAPTURE(why);
  CHECK(why.find("stalled: a member is lost; map 7 at ranks 0 3") !=
        std::string::npos);
  CHECK(why.find("told 3") != std::string::npos);
  CHECK(why.find("nothing gains enough") != std::string::npos);
}

TEST_CASE("a plan has no effect") {
  RunnerFixture fixture;
  const config::Configuration before = fixture.control.configuration();
  // The answer is not the outcome of the earlier command with that id.
  const StatementResult planned = fixture.Run("plan drain target t1", "made-1");
  CHECK(planned.answer.status == AnswerStatus::kDone);
  CHECK(fixture.control.configuration() == before);
  CHECK(fixture.control.proposed.size() == 1);
}

// Guards against one operator's change that silently undoes another's: both
// read version 1 and change the same object, and the version that was read is
// not compared.
TEST_CASE(
    "of two changes on one version the second is refused and names the first") {
  RunnerFixture fixture;
  StatementRequest request;
  request.text = "drain target t1";
  request.read_version = ConfigVersion(1);
  request.operator_id = config::OperatorId("lee");
  CHECK(fixture.runner.Run(request).answer.status == AnswerStatus::kDone);
  request.operator_id = config::OperatorId("kim");
  const StatementResult second = fixture.runner.Run(request);
  CHECK(second.answer.status == AnswerStatus::kRefused);
  const std::string text = language::RenderText(second.answer);
  CHECK(text.find("version 2 by lee") != std::string::npos);
  CHECK(text.find("changed drain target t1") != std::string::npos);
}

// Guards against a change that takes effect twice or is taken for lost: it is
// applied, its answer is lost, and the resend is not recognized by its id.
TEST_CASE("a resend after a lost answer gives the first outcome") {
  RunnerFixture fixture;
  fixture.control.failures = {
      {{ControlFailureKind::kUnknown, "leader lost"}, true}};
  const StatementResult lost = fixture.Run("drain target t1", "c-1");
  CHECK(lost.answer.status == AnswerStatus::kUnknown);
  CHECK(lost.failure == ControlFailureKind::kUnknown);
  CHECK(language::RenderText(lost.answer).find("command id c-1") !=
        std::string::npos);
  fixture.Run("declare workspace kiln");
  const StatementResult resent = fixture.Run("drain target t1", "c-1");
  CHECK(resent.answer.status == AnswerStatus::kDone);
  CHECK(language::RenderText(resent.answer).find("accepted at version 2,") !=
        std::string::npos);
  CHECK(fixture.control.configuration().version() == ConfigVersion(3));
}

TEST_CASE("a change without a leader is reported as not done") {
  for (const auto kind :
       {ControlFailureKind::kNoLeader, ControlFailureKind::kBusy}) {
    RunnerFixture fixture;
    fixture.control.failures = {{{kind, "why"}, false}};
    const StatementResult result = fixture.Run("drain target t1");
    CHECK(result.answer.status == AnswerStatus::kRefused);
    CHECK(result.answer.notes.front().starts_with("not done: "));
  }
}

TEST_CASE("only a new command id is sent with the applied index") {
  RunnerFixture fixture;
  fixture.Run("drain target t1");
  CHECK(fixture.control.proposed.back().issued_after == LogIndex(1));
  fixture.Run("drain target t1 as \"c-2\"");
  CHECK(fixture.control.proposed.back().id == CommandId("c-2"));
  CHECK_FALSE(fixture.control.proposed.back().issued_after.has_value());
  // Guards against an entry without a data folder whose new commands are all
  // refused as too old, because it has no applied index and sends 0.
  fixture.control.has_replica = false;
  fixture.Run("undrain target t1");
  CHECK_FALSE(fixture.control.proposed.back().issued_after.has_value());
}

TEST_CASE("nodes that lack an accepted version are named") {
  RunnerFixture fixture;
  fixture.control.coverages = {
      spread::Coverage{9, 6, {NodeId("agent-7")}, {FailureDomain("abdali")}}};
  const std::string text = fixture.TextOf("drain target t1");
  CHECK(text.find("accepted at version 2, in force on 6 of 9 nodes") !=
        std::string::npos);
  CHECK(text.find("agent-7") != std::string::npos);
  CHECK(text.find("named are 1 of 3 nodes") != std::string::npos);
  CHECK(text.find("domain abdali is silent") != std::string::npos);
  fixture.control.coverages = {
      ControlFailure{ControlFailureKind::kNoLeader, ""}};
  CHECK(fixture.TextOf("undrain target t1").find("ask: wait version 3") !=
        std::string::npos);
}

TEST_CASE(
    "a wait ends when all nodes have the version, or names those that lack "
    "it") {
  RunnerFixture fixture;
  const spread::Coverage partial{9, 8, {NodeId("agent-7")}, {}};
  const spread::Coverage whole{9, 9, {}, {}};
  const ControlFailure failure{ControlFailureKind::kNoLeader, ""};
  const TimePoint start = fixture.now;
  const spread::Coverage no_reports{0, 0, {}, {}};
  fixture.control.coverages = {partial, failure, no_reports, whole};
  CHECK(fixture.Run("wait version 1").answer.status == AnswerStatus::kDone);
  CHECK(fixture.now - start == 3 * StatementRunner::kPollInterval);

  fixture.control.coverages = {partial};
  const StatementResult late = fixture.Run("wait version 1 timeout 2s");
  CHECK(late.answer.status == AnswerStatus::kRefused);
  CHECK(fixture.now - start == 3 * StatementRunner::kPollInterval + Seconds(2));
  const std::string text = language::RenderText(late.answer);
  CHECK(text.find("not in force everywhere after 2.0 s: in force on 8 of 9") !=
        std::string::npos);
  CHECK(text.find("agent-7") != std::string::npos);

  fixture.control.coverages = {failure};
  CHECK(fixture.Run("wait version 1").failure == ControlFailureKind::kNoLeader);
}

TEST_CASE("a wait ends when its caller has left") {
  RunnerFixture fixture;
  fixture.control.coverages = {spread::Coverage{9, 8, {}, {}}};
  const TimePoint start = fixture.now;
  StatementRequest request;
  request.text = "wait version 1 timeout 60s";
  request.is_abandoned = [&] { return fixture.now - start >= Seconds(1); };
  fixture.runner.Run(request);
  CHECK(fixture.now - start == Seconds(1));
}

// Returns a word that the grammar allows after `text`, or a value of any kind.
std::string RandomToken(const std::string& text, Random& random) {
  const char* const values[] = {"t1", "drafter", "g1",    "1",  "9999999",
                                "5s", "\"/p\"",  "sahab", "\"", "0.5"};
  const std::vector<std::string> words = language::Complete(text);
  if (!words.empty() && random.Chance(0.8)) {
    return words[random.Below(words.size())];
  }
  return values[random.Below(std::size(values))];
}

// Whether `text` is a valid statement or the beginning of one.
bool IsFitting(const std::string& text) {
  const auto parsed = language::ParseStatement(text);
  const auto* error = std::get_if<language::ParseError>(&parsed);
  return error == nullptr || error->column >= text.size();
}

// Returns words that mostly fit the grammar, or random bytes.
std::string RandomStatement(Random& random) {
  std::string text;
  if (random.Chance(0.2)) {
    for (std::uint64_t i = random.Below(40); i > 0; --i) {
      text += static_cast<char>(random.Below(256));
    }
    return text;
  }
  for (std::uint64_t i = random.Below(60); i > 0; --i) {
    const std::string longer = text + RandomToken(text, random) + " ";
    if (IsFitting(longer) || random.Chance(0.02)) {
      text = longer;
    }
  }
  return text;
}

TEST_CASE("random statements and bytes are all answered") {
  const char* seeds = std::getenv("BILBERRYSPOOL_SEEDS");
  const int runs = seeds == nullptr ? 300 : std::atoi(seeds);
  RunnerFixture fixture;
  int understood = 0;
  for (int seed = 1; seed <= runs; ++seed) {
    CAPTURE(seed);
    Random random(static_cast<std::uint64_t>(seed));
    const StatementResult result = fixture.Run(RandomStatement(random));
    CHECK_FALSE(language::RenderJson(result.answer).empty());
    understood += result.answer.status == AnswerStatus::kInvalid ? 0 : 1;
  }
  MESSAGE(understood << " of " << runs << " were valid");
  CHECK(understood > runs / 20);
}

}  // namespace
}  // namespace bilberryspool::operators
