// Parser of the operators' language: converts the text of one statement to its
// type.
//
// docs/LANGUAGE.md is the language reference. A parse error contains the column
// and everything that is valid there. The same information is used to complete
// words at the prompt.

#ifndef LIBS_LANGUAGE_PARSER_H_
#define LIBS_LANGUAGE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/language/statement.h"

namespace bilberryspool::language {

struct ParseError {
  // Starts at 1; counted in bytes.
  std::size_t column = 1;
  // The tokens that are valid at this column: words in quotes, or descriptions.
  std::vector<std::string> expected;
  // The text found at this column; empty at the end of the statement.
  std::string found;

  bool operator==(const ParseError&) const = default;
};

// Formats an error, such as:
// column 9: expected "engine" or "plain", found "fast"
std::string ToString(const ParseError& error);

// In bytes.
inline constexpr std::size_t kMaxStatementLength = 65536;

std::variant<Statement, ParseError> ParseStatement(std::string_view text);

// The words that can replace the last, incomplete word of `prefix`.
std::vector<std::string> Complete(std::string_view prefix);

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_PARSER_H_
