#include "plugins/query/prompt.h"

#include <charconv>
#include <istream>
#include <ostream>
#include <string_view>
#include <utility>

#include "libs/language/parser.h"

namespace bilberryspool::query {

namespace {

constexpr std::size_t kMaxHistory = 1000;
constexpr char kBlanks[] = " \t\r";

std::string Trimmed(const std::string& line) {
  const std::size_t first = line.find_first_not_of(kBlanks);
  if (first == std::string::npos) {
    return "";
  }
  return line.substr(first, line.find_last_not_of(kBlanks) - first + 1);
}

void PrintCompletions(std::string_view prefix, std::ostream& out) {
  const std::vector<std::string> words = language::Complete(prefix);
  for (const std::string& word : words) {
    out << word << " ";
  }
  out << (words.empty() ? "no word is known for this place\n" : "\n");
}

}  // namespace

Prompt::Prompt(ExecuteFunction execute) : execute_(std::move(execute)) {}

ExitCode Prompt::Run(std::istream& in, std::ostream& out) {
  ExitCode code = ExitCode::kDone;
  std::string read;
  while (out << "> " << std::flush && std::getline(in, read)) {
    std::string line = Trimmed(read);
    if (line.empty()) {
      continue;
    }
    if (line == "quit" || line == "exit") {
      return code;
    }
    if (line == "history") {
      PrintHistory(out);
      continue;
    }
    if (line.back() == '?') {
      PrintCompletions(std::string_view(line).substr(0, line.size() - 1), out);
      continue;
    }
    if (line.front() == '!') {
      line = ExpandHistory(line);
      out << (line.empty() ? "no such line; see history" : line) << "\n";
    }
    if (line.empty()) {
      continue;
    }
    if (history_.size() < kMaxHistory) {
      history_.push_back(line);
    }
    const QueryResult result = execute_(line);
    out << result.text;
    code = result.code;
  }
  out << "\n";
  return code;
}

void Prompt::PrintHistory(std::ostream& out) const {
  std::size_t number = 1;
  for (const std::string& line : history_) {
    out << number << "  " << line << "\n";
    ++number;
  }
}

std::string Prompt::ExpandHistory(const std::string& line) const {
  std::size_t number = 0;
  const char* end = line.data() + line.size();
  const auto read = std::from_chars(line.data() + 1, end, number);
  const bool is_in_history = read.ec == std::errc() && read.ptr == end &&
                             number >= 1 && number <= history_.size();
  return is_in_history ? history_[number - 1] : "";
}

}  // namespace bilberryspool::query
