#ifndef LIBS_LANGUAGE_ANSWER_H_
#define LIBS_LANGUAGE_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberryspool::language {

using Cell = std::variant<std::string, std::uint64_t, double, bool>;

// A table; each row has one cell per column.
struct AnswerTable {
  std::vector<std::string> columns;
  std::vector<std::vector<Cell>> rows;

  bool operator==(const AnswerTable&) const = default;
};

enum class AnswerStatus {
  kDone,
  // The statement is valid but was refused and had no effect.
  kRefused,
  // The text is no valid statement, or can't be answered by this process.
  kInvalid,
  // The outcome is unknown: the statement may or may not have taken effect and
  // should be sent again under the same id.
  kUnknown,
};

// The answer to an operator's statement.
struct Answer {
  AnswerStatus status = AnswerStatus::kDone;
  std::optional<AnswerTable> table;
  // Sentences that are shown below the table.
  std::vector<std::string> notes;

  bool operator==(const Answer&) const = default;
};

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_ANSWER_H_
