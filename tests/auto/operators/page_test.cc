#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>

#include "auto/operators/runner_fixture.h"

namespace bilberryspool::operators {
namespace {

constexpr char kIndent[] = "    ";
constexpr char kPrompt[] = "    > ";

std::string WithoutTrailingBlanks(const std::string& line) {
  return line.substr(0, line.find_last_not_of(' ') + 1);
}

// Changes by others and failures that precede some statements of the page.
std::map<std::string, std::function<void(RunnerFixture&)>> Events() {
  using control::ControlFailureKind;
  const spread::Coverage partial{
      9, 7, {NodeId("agent-7")}, {FailureDomain("abdali")}};
  return {
      {"drain target t2 at version 2",
       [](RunnerFixture& fixture) {
         fixture.Run("declare workspace dairy weight 2", "c-81", "lee");
       }},
      {"undrain target t1 as \"ops-7\"",
       [](RunnerFixture& fixture) {
         fixture.control.failures = {
             {{ControlFailureKind::kUnknown,
               "the leader went away before it answered"},
              true}};
       }},
      {"declare priority urgent level 10",
       [](RunnerFixture& fixture) {
         fixture.control.failures = {
             {{ControlFailureKind::kNoLeader, "entry-2 and entry-3 are silent"},
              false}};
       }},
      {"set dedupe-window-s 900",
       [partial](RunnerFixture& fixture) {
         fixture.control.coverages = {partial};
       }},
  };
}

// Runs the statements of the page in order. Returns the page with the answers
// that they give.
std::string ReplayPage(const std::string& page) {
  RunnerFixture fixture;
  auto events = Events();
  std::istringstream in(page);
  std::ostringstream out;
  std::string line;
  bool in_answer = false;
  while (std::getline(in, line)) {
    const bool is_statement = line.starts_with(kPrompt);
    in_answer = in_answer && line.starts_with(kIndent);
    if (in_answer && !is_statement) {
      continue;
    }
    out << line << "\n";
    if (!is_statement) {
      continue;
    }
    in_answer = true;
    const std::string statement = line.substr(std::size(kPrompt) - 1);
    // Each event happens once, so a resend on the page is answered.
    if (const auto event = events.extract(statement)) {
      event.mapped()(fixture);
    }
    std::istringstream answer(fixture.TextOf(statement));
    for (std::string part; std::getline(answer, part);) {
      out << kIndent << WithoutTrailingBlanks(part) << "\n";
    }
  }
  return out.str();
}

// Guards against examples on the operators' page that differ from what the
// program answers, as the page is written by hand.
TEST_CASE("the examples of the page give the answers shown there") {
  std::stringstream page;
  page << std::ifstream(OPERATORS_PAGE).rdbuf();
  const std::string replayed = ReplayPage(page.str());
  if (std::getenv("BILBERRYSPOOL_WRITE_PAGE") != nullptr) {
    std::ofstream(OPERATORS_PAGE) << replayed;
    return;
  }
  CHECK(replayed == page.str());
  CHECK(replayed.find(kPrompt) != std::string::npos);
}

}  // namespace
}  // namespace bilberryspool::operators
