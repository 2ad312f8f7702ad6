// A parsed scenario file.

#ifndef LIBS_SCENARIO_SCRIPT_H_
#define LIBS_SCENARIO_SCRIPT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/scenario/statement.h"

namespace bilberryspool::scenario {

struct ScriptLine {
  // Line number in the file, from 1.
  std::size_t number = 0;
  std::string text;
  Statement statement;
};

struct Script {
  std::string name;
  std::vector<ScriptLine> lines;
};

// "FILE:LINE:COLUMN: expected ..., found ...".
struct ScriptError {
  std::string text;
};

// `name` is the file name in errors. Comments begin with #. The first
// statement, and only the first, must be the deployment.
std::variant<Script, ScriptError> ParseScript(const std::string& name,
                                              std::string_view text);

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_SCRIPT_H_
