#include "plugins/query/prompt.h"

#include <doctest/doctest.h>

#include <sstream>

namespace bilberryspool::query {
namespace {

TEST_CASE("the prompt runs statements and its own commands") {
  struct Row {
    const char* input;
    std::vector<std::string> executed;
    // The output contains this.
    const char* text;
  };
  const Row rows[] = {
      {"", {}, "> "},
      {"\n  \n", {}, "> "},
      {"show version\n", {"show version"}, "answer\n"},
      {"  show version \r\nquit\nshow config\n", {"show version"}, "answer"},
      {"help\nshow version\nhistory\n",
       {"help", "show version"},
       "1  help\n2  show version\n"},
      {"help\nshow version\n!1\n", {"help", "show version", "help"}, "help\n"},
      {"help\n!2\n!x\n!\n", {"help"}, "no such line"},
      {"dr?\n", {}, "drain "},
      {"drain ?\n", {}, "domain target "},
      {"nonsense ?\n", {}, "no word is known"},
  };
  for (const Row& row : rows) {
    std::vector<std::string> executed;
    Prompt prompt([&executed](const std::string& statement) {
      executed.push_back(statement);
      return QueryResult{ExitCode::kRefused, "answer\n"};
    });
    std::istringstream in(row.input);
    std::ostringstream out;
    const ExitCode code = prompt.Run(in, out);
    CAPTURE(row.input);
    CAPTURE(out.str());
    CHECK(code == (executed.empty() ? ExitCode::kDone : ExitCode::kRefused));
    CHECK(executed == row.executed);
    CHECK(out.str().find(row.text) != std::string::npos);
  }
}

}  // namespace
}  // namespace bilberryspool::query
