#include "libs/language/parser.h"

#include <doctest/doctest.h>

#include <iterator>

#include "auto/config/random_commands.h"
#include "libs/base/random.h"
#include "libs/language/printer.h"

namespace bilberryspool::language {
namespace {

using config::AnyTarget;
using config::SeedCount;

TEST_CASE("statements are parsed to their types") {
  struct Row {
    const char* text;
    Statement statement;
  };
  const config::ExpertKey expert{GroupId("g"), 1, ExpertIndex(2)};
  const Row rows[] = {
      {"declare workspace w tokens 9 requests 7 weight 2",
       ChangeStatement{{config::DeclareWorkspace{
           {Workspace("w"), 7U, std::nullopt, 9U, 2}}}}},
      {"drain target t1;undrain domain d at version 7 as x",
       ChangeStatement{{config::Drain{{TargetId("t1")}},
                        config::Undrain{FailureDomain("d")}},
                       config::Expectation{ConfigVersion(7)},
                       CommandId("x")}},
      {"plan deny service s on any since version 2",
       PlanStatement{{{config::Deny{{ServiceId("s"), AnyTarget()}}},
                      config::Expectation{ConfigVersion(2),
                                          config::CompareScope::kObjects}}}},
      {"move group g layer 1 expert 2 from rank 0 to rank 3",
       ChangeStatement{{config::Move{{expert, RankIndex(0), RankIndex(3)}}}}},
      {"declare group any service on ranks 1 layers 1 experts 1 quiet "
       "22:00-06:30",
       ChangeStatement{{config::DeclareGroup{{GroupId("any"),
                                              ServiceId("on"),
                                              1,
                                              1,
                                              1,
                                              {},
                                              AnyTarget(),
                                              1.0,
                                              1.0,
                                              {{1320, 390}}}}}}},
      {"  wait\tversion 18446744073709551615 timeout 1500ms ",
       WaitStatement{ConfigVersion(UINT64_MAX), Milliseconds(1500)}},
      {"show targets where load>0.5 and domain!=\"sahab\"",
       ShowStatement{Subject::kTargets,
                     {{"load", Comparison::kGreater, "0.5"},
                      {"domain", Comparison::kNotEqual, "sahab"}}}},
      {"show request \"a b\"", ShowRequestStatement{RequestId("a b")}},
      {"why group g", WhyStatement{GroupId("g")}},
      {"help", HelpStatement()},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const auto parsed = ParseStatement(row.text);
    if (const auto* error = std::get_if<ParseError>(&parsed)) {
      FAIL_CHECK(ToString(*error));
      continue;
    }
    CHECK(std::get<Statement>(parsed) == row.statement);
    CHECK(std::get<Statement>(ParseStatement(Print(row.statement))) ==
          row.statement);
  }
}

TEST_CASE("a parse error lists the column and all valid tokens there") {
  struct Row {
    const char* text;
    const char* error;
  };
  const Row rows[] = {
      {"declare service drafter fast",
       "column 25: expected \"engine\" or \"plain\", found \"fast\""},
      {"drain",
       "column 6: expected \"any\", \"domain\" or \"target\", found "
       "the end"},
      {"wait version x", "column 14: expected a number, found \"x\""},
      {"wait version 5 timeout 3",
       "column 24: expected a duration such as 30s, found \"3\""},
      {"drain target t1 at vers 3",
       "column 20: expected \"version\", found \"vers\""},
      {"why target t1 t2", "column 15: expected the end, found \"t2\""},
      {"declare workspace w weight 99999999999",
       "column 28: expected a number, found \"99999999999\""},
      {"show groups where a % b",
       "column 21: expected one of = != < > ~, found \"%\""},
      {"declare group g service s ranks 1 layers 1 experts 1 quiet 24:00-1:00",
       "column 60: expected times such as 18:00-21:00, found \"24:00-1:00\""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const auto parsed = ParseStatement(row.text);
    const auto* error = std::get_if<ParseError>(&parsed);
    REQUIRE(error != nullptr);
    CHECK(ToString(*error) == row.error);
  }
}

TEST_CASE("words are completed according to the grammar") {
  struct Row {
    const char* prefix;
    std::vector<std::string> words;
  };
  const Row rows[] = {
      {"dec", {"declare"}},
      {"un", {"undrain", "unpin", "unset"}},
      {"show pl", {"placements"}},
      {"drain ", {"any", "domain", "target"}},
      {"declare workspace w weight 3 c", {"concurrent", "credential"}},
      {"drain target ", {}},
      {"nonsense ", {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.prefix);
    CHECK(Complete(row.prefix) == row.words);
  }
}

// Random sequences of the language's words reach deep into the grammar, random
// bytes test invalid characters. The parser must reject them without crashing,
// and statements that parse must round-trip.
TEST_CASE("no text crashes the parser, and parsed statements round-trip") {
  const char* words[] = {"declare", "service", "plain",   "path",   "\"/x\"",
                         "group",   "ranks",   "layers",  "target", "t1",
                         ";",       "at",      "version", "7",      "drain",
                         "any",     "as",      "\"",      "show",   "where",
                         "0.5",     "=",       "pin",     "layer",  "expert",
                         "to",      "rank",    "domain",  "allow",  "on"};
  int parsed_count = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount(5000); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    std::string text;
    const bool bytes = random.Chance(0.2);
    for (std::uint64_t i = 0; i < 1 + random.Below(12); ++i) {
      text += bytes ? std::string(1, static_cast<char>(random.Below(256)))
                    : words[random.Below(std::size(words))] + std::string(" ");
    }
    CAPTURE(text);
    Complete(text);
    const auto parsed = ParseStatement(text);
    if (const auto* error = std::get_if<ParseError>(&parsed)) {
      CHECK(error->column <= text.size() + 1);
      CHECK_FALSE(error->expected.empty());
      continue;
    }
    ++parsed_count;
    const auto& statement = std::get<Statement>(parsed);
    const auto again = ParseStatement(Print(statement));
    REQUIRE(std::holds_alternative<Statement>(again));
    CHECK(std::get<Statement>(again) == statement);
  }
  CHECK(parsed_count > 0);
}

TEST_CASE("the printed text of any change parses to the same change") {
  for (std::uint64_t seed = 1; seed <= SeedCount(1000); ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const config::Command command =
        config::RandomCommand(random, CommandId("c"), ConfigVersion(9));
    ChangeStatement statement{{}, command.expected, command.id};
    for (const config::Change& change : command.changes) {
      if (!config::IsSystemChange(change)) {
        statement.changes.push_back(change);
      }
    }
    if (statement.changes.empty()) {
      continue;
    }
    const std::string text = Print(statement);
    CAPTURE(text);
    const auto parsed = ParseStatement(text);
    REQUIRE(std::holds_alternative<Statement>(parsed));
    CHECK(std::get<Statement>(parsed) == Statement(statement));
  }
}

TEST_CASE("a command has the id of its statement or the default id") {
  const auto parsed = ParseStatement("drain target t1 at version 3 as \"a\"");
  auto statement = std::get<ChangeStatement>(std::get<Statement>(parsed));
  const auto command_of = [&] {
    return ToCommand(statement, CommandId("fallback"), config::OperatorId("op"),
                     LogIndex(5));
  };
  CHECK(command_of().id == CommandId("a"));
  CHECK(command_of().expected->version == ConfigVersion(3));
  CHECK(command_of().issued_after == LogIndex(5));
  statement.id.reset();
  CHECK(command_of().id == CommandId("fallback"));
}

}  // namespace
}  // namespace bilberryspool::language
