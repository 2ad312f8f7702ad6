#include <doctest/doctest.h>

#include "libs/language/config_answers.h"
#include "libs/language/rendering.h"

namespace bilberryspool::language {
namespace {

config::Command ParseCommand(const std::string& text, const char* id) {
  const auto parsed = ParseStatement(text);
  REQUIRE(std::holds_alternative<Statement>(parsed));
  const auto& statement =
      std::get<ChangeStatement>(std::get<Statement>(parsed));
  return ToCommand(statement, CommandId(id), config::OperatorId("amal"),
                   std::nullopt);
}

// A state machine to which the statements were applied, each as one command.
config::StateMachine MachineAfter(const std::vector<std::string>& texts) {
  config::StateMachine machine;
  LogIndex index;
  for (const std::string& text : texts) {
    index = index.Next();
    const std::string id = "c" + std::to_string(index.value());
    const auto outcome = machine.Apply(ParseCommand(text, id.c_str()), index);
    CAPTURE(text);
    REQUIRE(std::holds_alternative<config::Accepted>(outcome));
  }
  return machine;
}

std::string RenderShow(const char* text, const config::StateMachine& machine) {
  const auto parsed = ParseStatement(text);
  const auto answer =
      AnswerShow(std::get<ShowStatement>(std::get<Statement>(parsed)),
                 machine.configuration());
  REQUIRE(answer.has_value());
  CHECK(AnswerFromJson(RenderJson(*answer)) == *answer);
  return RenderText(*answer);
}

const std::vector<std::string> kStatements = {
    "declare service drafter engine; allow service drafter on domain sahab",
    "declare priority urgent level 10; declare workspace kiln requests 200 "
    "priority urgent; declare workspace dairy weight 3"};

TEST_CASE("show answers with the requested and filtered table") {
  const config::StateMachine machine = MachineAfter(kStatements);
  CHECK(RenderShow("show workspaces", machine) ==
        "workspace  requests  concurrent  tokens  weight  priority  credential"
        "  version  by\n"
        "dairy      -         -           -       3       -         no        "
        "  2        amal\n"
        "kiln       200       -           -       1       urgent    no        "
        "  2        amal\n"
        "as of version 2\n");
  CHECK(RenderShow("show priorities where level > 9 and by = amal", machine) ==
        "priority  level  version  by\n"
        "urgent    10     2        amal\n"
        "as of version 2\n");
  CHECK(RenderShow("show priorities where level > 10", machine) ==
        "priority  level  version  by\nas of version 2\n");
  CHECK(RenderShow("show priorities where colour = red", machine) ==
        "there is no column colour; there are priority level version by\n");
}

TEST_CASE("the statements of a shown configuration restore it") {
  const config::StateMachine machine = MachineAfter(kStatements);
  const auto answer =
      AnswerShow({Subject::kConfig, {}}, machine.configuration());
  std::string text;
  for (const auto& row : answer->table->rows) {
    text += (text.empty() ? "" : "; ") + std::get<std::string>(row[0]);
  }
  const config::StateMachine again = MachineAfter({text});
  CHECK(AnswerShow({Subject::kConfig, {}}, again.configuration())->table ==
        answer->table);
}

TEST_CASE("outcomes and plans are rendered as text") {
  struct Row {
    const char* text;
    const char* planned;
    const char* applied;
  };
  const Row rows[] = {
      {"declare target t1 fencing no; remove workspace dairy",
       "effect  object\ncreate  target t1\nremove  workspace dairy\n"
       "would be accepted\n",
       "accepted at version 3\n"},
      {"drain domain sahab",
       "would be refused: no target would be left that may serve service "
       "drafter\n",
       "refused: no target would be left that may serve service drafter\n"},
      {"declare workspace kiln weight 5 at version 1",
       "would be refused: the version is 2\n"
       "version 2 by amal (command c2) changed priority urgent, workspace "
       "kiln, workspace dairy\n",
       "refused: the version is 2\n"
       "version 2 by amal (command c2) changed priority urgent, workspace "
       "kiln, workspace dairy\n"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    config::StateMachine machine = MachineAfter(kStatements);
    const config::Command command = ParseCommand(row.text, "c");
    CHECK(RenderText(AnswerPlan(machine.Plan(command))) == row.planned);
    CHECK(RenderText(AnswerOutcome(machine.Apply(command, LogIndex(9)))) ==
          row.applied);
  }
  CHECK(RenderText(AnswerInForce({ConfigVersion(4), 3, {NodeId("e2")}})) ==
        "lacking\ne2\nversion 4 is in force on 2 of 3 nodes\n");
}

TEST_CASE("why lists the placements and the operators who made them") {
  config::StateMachine machine = MachineAfter(kStatements);
  CHECK(
      ExplainFromConfiguration(ServiceId("drafter"), machine.configuration()) ==
      std::vector<std::string>{
          "service drafter: last changed at version 1 by amal",
          "may run on domain sahab (version 1, by amal)"});
  CHECK(ExplainFromConfiguration(ServiceId("other"), machine.configuration()) ==
        std::vector<std::string>{"no target may serve service other"});
}

TEST_CASE("JSON that isn't a valid answer is rejected") {
  for (const char* text :
       {"", "[]", "{}", R"({"status":"fine","notes":[]})",
        R"({"status":"done","notes":[1]})",
        R"({"status":"done","notes":[],"columns":["a"],"rows":[{}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(AnswerFromJson(text).has_value());
  }
}

}  // namespace
}  // namespace bilberryspool::language
