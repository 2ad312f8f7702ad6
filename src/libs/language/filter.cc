#include "libs/language/filter.h"

#include <algorithm>
#include <charconv>
#include <compare>
#include <iterator>
#include <optional>

namespace bilberryspool::language {
namespace {

std::optional<double> NumberOf(const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  const bool whole = result.ec == std::errc() && result.ptr == end;
  return whole ? std::make_optional(number) : std::nullopt;
}

std::optional<double> NumberOf(const Cell& cell) {
  if (const auto* number = std::get_if<std::uint64_t>(&cell)) {
    return static_cast<double>(*number);
  }
  const auto* number = std::get_if<double>(&cell);
  return number == nullptr ? std::nullopt : std::make_optional(*number);
}

std::string TextOf(const Cell& cell) {
  if (const auto* flag = std::get_if<bool>(&cell)) {
    return *flag ? "yes" : "no";
  }
  const auto* text = std::get_if<std::string>(&cell);
  return text == nullptr ? std::string() : *text;
}

bool Matches(const Filter& filter, const Cell& cell) {
  const std::optional<double> number = NumberOf(cell);
  const std::optional<double> filter_number = NumberOf(filter.value);
  if (number.has_value() != filter_number.has_value() && number.has_value()) {
    return filter.comparison == Comparison::kNotEqual;
  }
  const std::partial_ordering order =
      number.has_value() ? *number <=> *filter_number
                         : std::partial_ordering(TextOf(cell) <=> filter.value);
  switch (filter.comparison) {
    case Comparison::kEqual:
      return std::is_eq(order);
    case Comparison::kNotEqual:
      return std::is_neq(order);
    case Comparison::kLess:
      return std::is_lt(order);
    case Comparison::kGreater:
      return std::is_gt(order);
    case Comparison::kContains:
      return TextOf(cell).find(filter.value) != std::string::npos;
  }
  return false;
}

void RejectUnknownColumn(const Filter& filter, Answer& answer) {
  std::string note = "there is no column " + filter.column + "; there are";
  for (const std::string& column : answer.table->columns) {
    note += " " + column;
  }
  answer = {AnswerStatus::kInvalid, std::nullopt, {std::move(note)}};
}

}  // namespace

void ApplyFilters(const std::vector<Filter>& filters, Answer& answer) {
  for (const Filter& filter : filters) {
    if (!answer.table.has_value()) {
      return;
    }
    auto& [columns, rows] = *answer.table;
    const auto found = std::find(columns.begin(), columns.end(), filter.column);
    if (found == columns.end()) {
      RejectUnknownColumn(filter, answer);
      return;
    }
    const auto column =
        static_cast<std::size_t>(std::distance(columns.begin(), found));
    std::erase_if(rows, [&](const std::vector<Cell>& row) {
      return column >= row.size() || !Matches(filter, row[column]);
    });
  }
}

}  // namespace bilberryspool::language
