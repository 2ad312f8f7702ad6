#ifndef LIBS_SCENARIO_GRAMMAR_H_
#define LIBS_SCENARIO_GRAMMAR_H_

#include <string_view>
#include <variant>

#include "libs/language/parser.h"
#include "libs/scenario/statement.h"

namespace bilberryspool::scenario {

// Parses one line, its comment already removed. An operator's statement is also
// checked by the operators' grammar; columns of errors refer to the whole line.
std::variant<Statement, language::ParseError> ParseLine(std::string_view line);

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_GRAMMAR_H_
