#include <doctest/doctest.h>

#include <fstream>
#include <string>

#include "libs/config/setting_spec.h"
#include "libs/language/parser.h"
#include "libs/language/printer.h"

namespace bilberryspool::language {
namespace {

// Guards against a language reference that doesn't match the program: its
// examples must parse, and their printed form must parse to the same statement.
TEST_CASE("the examples of the language reference parse and round-trip") {
  std::ifstream page(LANGUAGE_PAGE);
  const std::string indent = "    ";
  std::string text;
  std::string line;
  int examples = 0;
  while (std::getline(page, line)) {
    text += line + "\n";
    if (!line.starts_with(indent)) {
      continue;
    }
    CAPTURE(line);
    const auto parsed = ParseStatement(line);
    if (const auto* error = std::get_if<ParseError>(&parsed)) {
      FAIL_CHECK(ToString(*error));
      continue;
    }
    ++examples;
    const auto& statement = std::get<Statement>(parsed);
    const auto again = ParseStatement(Print(statement));
    CHECK(std::get<Statement>(again) == statement);
  }
  CHECK(examples >= 45);
  for (const SubjectWord& word : kSubjectWords) {
    CAPTURE(word.word);
    CHECK(text.find(word.word) != std::string::npos);
  }
  for (const config::KnownSetting& known : config::kKnownSettings) {
    const std::string row = "| `" + std::string(known.name) + "` | " +
                            std::to_string(known.default_value) + " | " +
                            std::to_string(known.min_value) + " to " +
                            std::to_string(known.max_value) + " |";
    CAPTURE(row);
    CHECK(text.find(row) != std::string::npos);
  }
}

}  // namespace
}  // namespace bilberryspool::language
