#include "libs/scenario/script.h"

#include "libs/scenario/grammar.h"

namespace bilberryspool::scenario {
namespace {

// A # inside of quotes begins no comment.
std::string_view StripComment(std::string_view line) {
  bool is_quoted = false;
  for (std::size_t i = 0; i < line.size(); ++i) {
    is_quoted = is_quoted != (line[i] == '"');
    if (line[i] == '#' && !is_quoted) {
      return line.substr(0, i);
    }
  }
  return line;
}

std::string_view TrimEnd(std::string_view line) {
  const std::size_t last = line.find_last_not_of(" \t\r");
  return last == std::string_view::npos ? "" : line.substr(0, last + 1);
}

std::string Place(const std::string& name,
                  std::size_t line,
                  std::size_t column) {
  return name + ":" + std::to_string(line) + ":" + std::to_string(column) +
         ": ";
}

std::string Describe(const language::ParseError& error) {
  const std::string text = language::ToString(error);
  return text.substr(text.find(": ") + 2);
}

}  // namespace

std::variant<Script, ScriptError> ParseScript(const std::string& name,
                                              std::string_view text) {
  Script script{name, {}};
  std::size_t number = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = TrimEnd(StripComment(text.substr(0, end)));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    ++number;
    if (line.empty()) {
      continue;
    }
    auto parsed = ParseLine(line);
    if (const auto* error = std::get_if<language::ParseError>(&parsed)) {
      return ScriptError{Place(name, number, error->column) + Describe(*error)};
    }
    auto& statement = std::get<Statement>(parsed);
    const bool is_first = script.lines.empty();
    if (std::holds_alternative<Deployment>(statement) != is_first) {
      return ScriptError{Place(name, number, 1) +
                         (is_first ? "expected \"deployment\" first"
                                   : "a second \"deployment\"")};
    }
    script.lines.push_back({number, std::string(line), std::move(statement)});
  }
  if (script.lines.empty()) {
    return ScriptError{Place(name, number + 1, 1) + "expected \"deployment\""};
  }
  return script;
}

}  // namespace bilberryspool::scenario
