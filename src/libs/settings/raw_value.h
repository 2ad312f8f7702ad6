#ifndef LIBS_SETTINGS_RAW_VALUE_H_
#define LIBS_SETTINGS_RAW_VALUE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bilberryspool::settings {

struct RawField;
struct RawValue;

using RawList = std::vector<RawValue>;
using RawTable = std::vector<RawField>;

// A value of another TOML type, such as a date or a float, as text.
struct OtherValue {
  std::string text;
};

// A value of the file before any check.
struct RawValue {
  std::variant<bool, std::int64_t, std::string, RawList, RawTable, OtherValue>
      value;
  int line = 0;
};

// One key of a table with its value.
struct RawField {
  std::string key;
  RawValue value;
};

// One key of the file with its full dotted name. A part of the name that is not
// a bare key keeps its quotes, so that a single quoted key "log.level" is
// distinguished from the key level in the table log.
struct RawEntry {
  std::string key;
  RawValue value;
};

// Formats the value for an error message, truncated if it is long.
std::string Describe(const RawValue& value);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_RAW_VALUE_H_
