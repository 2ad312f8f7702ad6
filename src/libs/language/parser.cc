#include "libs/language/parser.h"

#include "libs/language/grammar.h"

namespace bilberryspool::language {
namespace {

constexpr std::size_t kMaxFoundLength = 32;

// The word, or else the single character, that starts at `offset`; at most
// kMaxFoundLength bytes.
std::string WordAt(std::string_view text, std::size_t offset) {
  std::size_t end = offset;
  while (end < text.size() && internal::IsNameCharacter(text[end])) {
    ++end;
  }
  if (end == offset && end < text.size()) {
    ++end;
  }
  return std::string(
      text.substr(offset, std::min(end - offset, kMaxFoundLength)));
}

}  // namespace

std::string ToString(const ParseError& error) {
  std::string text = "column " + std::to_string(error.column) + ": expected ";
  for (std::size_t i = 0; i < error.expected.size(); ++i) {
    const bool last = i + 1 == error.expected.size();
    text += i == 0 ? "" : (last ? " or " : ", ");
    text += error.expected[i];
  }
  return text + ", found " +
         (error.found.empty() ? "the end" : "\"" + error.found + "\"");
}

std::variant<Statement, ParseError> ParseStatement(std::string_view text) {
  if (text.size() > kMaxStatementLength) {
    return ParseError{kMaxStatementLength + 1, {"the end"}, ""};
  }
  internal::Expectations expectations;
  if (auto statement = internal::ParseCompleteStatement(text, expectations)) {
    return std::move(*statement);
  }
  ParseError error{
      expectations.offset() + 1, {}, WordAt(text, expectations.offset())};
  for (const std::string& word : expectations.words()) {
    error.expected.push_back("\"" + word + "\"");
  }
  for (const std::string& description : expectations.descriptions()) {
    error.expected.push_back(description);
  }
  return error;
}

std::vector<std::string> Complete(std::string_view prefix) {
  if (prefix.size() > kMaxStatementLength) {
    return {};
  }
  std::size_t start = prefix.size();
  while (start > 0 && internal::IsNameCharacter(prefix[start - 1])) {
    --start;
  }
  const std::string_view unfinished = prefix.substr(start);
  const std::string_view head = prefix.substr(0, start);
  internal::Expectations expectations;
  internal::ParseCompleteStatement(head, expectations);
  std::vector<std::string> words;
  if (expectations.offset() != head.size()) {
    return words;
  }
  for (const std::string& word : expectations.words()) {
    if (word.starts_with(unfinished)) {
      words.push_back(word);
    }
  }
  return words;
}

}  // namespace bilberryspool::language
