#include "libs/language/rendering.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <boost/json.hpp>

#include "libs/base/overloaded.h"

namespace bilberryspool::language {
namespace {

struct StatusName {
  AnswerStatus status;
  const char* name;
};

constexpr StatusName kStatusNames[] = {{AnswerStatus::kDone, "done"},
                                       {AnswerStatus::kRefused, "refused"},
                                       {AnswerStatus::kInvalid, "invalid"},
                                       {AnswerStatus::kUnknown, "unknown"}};

std::string CellText(const Cell& cell) {
  return std::visit(
      Overloaded{[](const std::string& text) { return text; },
                 [](std::uint64_t number) { return std::to_string(number); },
                 [](double number) {
                   char buffer[32];
                   std::snprintf(buffer, sizeof(buffer), "%.6g", number);
                   return std::string(buffer);
                 },
                 [](bool flag) { return std::string(flag ? "yes" : "no"); }},
      cell);
}

// Approximate number of terminal columns of UTF-8 text: counts code points,
// which is sufficient for names.
std::size_t DisplayWidth(const std::string& text) {
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xc0U) != 0x80U;
      }));
}

std::vector<std::size_t> ColumnWidths(const AnswerTable& table) {
  std::vector<std::size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(DisplayWidth(column));
  }
  for (const auto& row : table.rows) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], DisplayWidth(CellText(row[i])));
    }
  }
  return widths;
}

// Formats one line of a table, without trailing blanks.
std::string FormatLine(const std::vector<std::string>& cells,
                       const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size() && i < widths.size(); ++i) {
    line += cells[i];
    line.append(widths[i] + 2 - std::min(DisplayWidth(cells[i]), widths[i]),
                ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::string TableText(const AnswerTable& table) {
  const std::vector<std::size_t> widths = ColumnWidths(table);
  std::string text = FormatLine(table.columns, widths);
  for (const auto& row : table.rows) {
    std::vector<std::string> cells;
    cells.reserve(row.size());
    for (const Cell& cell : row) {
      cells.push_back(CellText(cell));
    }
    text += FormatLine(cells, widths);
  }
  return text;
}

boost::json::array StringsToJson(const std::vector<std::string>& texts) {
  boost::json::array array;
  array.reserve(texts.size());
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

boost::json::array RowsToJson(const AnswerTable& table) {
  boost::json::array rows;
  for (const auto& row : table.rows) {
    boost::json::object object;
    for (std::size_t i = 0; i < row.size() && i < table.columns.size(); ++i) {
      std::visit([&](const auto& cell) { object[table.columns[i]] = cell; },
                 row[i]);
    }
    rows.push_back(std::move(object));
  }
  return rows;
}

std::optional<Cell> CellFromJson(const boost::json::value& json) {
  if (json.is_string()) {
    return std::string(json.get_string());
  }
  if (json.is_bool()) {
    return json.get_bool();
  }
  if (json.is_double()) {
    return json.get_double();
  }
  boost::json::error_code error;
  const auto number = json.to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::make_optional<Cell>(number);
}

bool StringsFromJson(const boost::json::object& object,
                     const char* name,
                     std::vector<std::string>& texts) {
  const auto* json = object.if_contains(name);
  const auto* array = json == nullptr ? nullptr : json->if_array();
  if (array == nullptr) {
    return false;
  }
  for (const auto& element : *array) {
    if (!element.is_string()) {
      return false;
    }
    texts.emplace_back(element.get_string());
  }
  return true;
}

bool RowFromJson(const boost::json::value& json,
                 const std::vector<std::string>& columns,
                 std::vector<Cell>& row) {
  const auto* object = json.if_object();
  if (object == nullptr) {
    return false;
  }
  for (const std::string& column : columns) {
    const auto* cell = object->if_contains(column);
    auto read = cell == nullptr ? std::nullopt : CellFromJson(*cell);
    if (!read.has_value()) {
      return false;
    }
    row.push_back(std::move(*read));
  }
  return true;
}

bool TableFromJson(const boost::json::object& object, AnswerTable& table) {
  const auto* json = object.if_contains("rows");
  const auto* rows = json == nullptr ? nullptr : json->if_array();
  if (rows == nullptr || !StringsFromJson(object, "columns", table.columns)) {
    return false;
  }
  return std::all_of(rows->begin(), rows->end(), [&](const auto& row) {
    return RowFromJson(row, table.columns, table.rows.emplace_back());
  });
}

}  // namespace

std::string RenderText(const Answer& answer) {
  std::string text;
  if (answer.table.has_value()) {
    text = TableText(*answer.table);
  }
  for (const std::string& note : answer.notes) {
    text += note + "\n";
  }
  return text;
}

std::string RenderJson(const Answer& answer) {
  boost::json::object object;
  for (const StatusName& name : kStatusNames) {
    if (name.status == answer.status) {
      object["status"] = name.name;
    }
  }
  if (answer.table.has_value()) {
    object["columns"] = StringsToJson(answer.table->columns);
    object["rows"] = RowsToJson(*answer.table);
  }
  object["notes"] = StringsToJson(answer.notes);
  return boost::json::serialize(object);
}

std::optional<Answer> AnswerFromJson(std::string_view text) {
  boost::json::error_code error;
  const auto json = boost::json::parse(text, error);
  const auto* object = error ? nullptr : json.if_object();
  const auto* status =
      object == nullptr ? nullptr : object->if_contains("status");
  if (status == nullptr || !status->is_string()) {
    return std::nullopt;
  }
  const auto* known =
      std::find_if(std::begin(kStatusNames), std::end(kStatusNames),
                   [&](const StatusName& name) {
                     return status->get_string() == name.name;
                   });
  Answer answer;
  if (known == std::end(kStatusNames) ||
      !StringsFromJson(*object, "notes", answer.notes)) {
    return std::nullopt;
  }
  answer.status = known->status;
  if (object->contains("columns") &&
      !TableFromJson(*object, answer.table.emplace())) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace bilberryspool::language
