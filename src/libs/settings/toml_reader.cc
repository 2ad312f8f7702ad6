#include "libs/settings/toml_reader.h"

#include <algorithm>
#include <sstream>

// toml++ 3.3.0 asserts on some invalid input, such as "[]", which it would
// reject right after: an invalid file would terminate the process with a signal
// instead of an error with its line. With NDEBUG the library turns these
// assertions into assumptions for the optimiser, so NDEBUG must not be defined
// here either.
#undef NDEBUG
#define TOML_ASSERT(condition) static_cast<void>(0)
#include <toml++/toml.h>

#include "libs/base/overloaded.h"

namespace bilberryspool::settings {
namespace {

constexpr std::size_t kMaxShownLength = 60;
constexpr std::string_view kBareKeyBytes =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-";

RawValue ToRaw(const toml::node& node);

RawTable ToRawTable(const toml::table& table) {
  RawTable raw;
  for (const auto& [key, node] : table) {
    raw.push_back({std::string(key.str()), ToRaw(node)});
  }
  return raw;
}

RawList ToRawList(const toml::array& array) {
  RawList raw;
  raw.reserve(array.size());
  for (const toml::node& node : array) {
    raw.push_back(ToRaw(node));
  }
  return raw;
}

OtherValue ToOther(const toml::node& node) {
  std::ostringstream text;
  text << toml::node_view<const toml::node>(node);
  return OtherValue{text.str()};
}

RawValue ToRaw(const toml::node& node) {
  RawValue raw;
  raw.line = static_cast<int>(node.source().begin.line);
  if (const auto* flag = node.as_boolean()) {
    raw.value = flag->get();
  } else if (const auto* number = node.as_integer()) {
    raw.value = number->get();
  } else if (const auto* text = node.as_string()) {
    raw.value = text->get();
  } else if (const auto* array = node.as_array()) {
    raw.value = ToRawList(*array);
  } else if (const auto* table = node.as_table()) {
    raw.value = ToRawTable(*table);
  } else {
    raw.value = ToOther(node);
  }
  return raw;
}

bool IsBareKey(std::string_view key) {
  return !key.empty() &&
         key.find_first_not_of(kBareKeyBytes) == std::string_view::npos;
}

void Flatten(const std::string& prefix,
             const RawTable& table,
             std::vector<RawEntry>& entries) {
  for (const auto& [key, value] : table) {
    const std::string name =
        prefix + (IsBareKey(key) ? key : "\"" + key + "\"");
    const auto* child = std::get_if<RawTable>(&value.value);
    if (child != nullptr && !child->empty()) {
      Flatten(name + ".", *child, entries);
      continue;
    }
    entries.push_back({name, value});
  }
}

std::string Shorten(std::string text) {
  // Control characters in an error message could forge further lines of a log.
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; }, ' ');
  if (text.size() > kMaxShownLength) {
    text.resize(kMaxShownLength);
    text += "...";
  }
  return text;
}

}  // namespace

std::string Describe(const RawValue& value) {
  return std::visit(
      Overloaded{
          [](bool flag) { return std::string(flag ? "true" : "false"); },
          [](std::int64_t number) { return std::to_string(number); },
          [](const std::string& text) { return "\"" + Shorten(text) + "\""; },
          [](const RawList& list) {
            return "a list of " + std::to_string(list.size());
          },
          [](const RawTable&) { return std::string("a table"); },
          [](const OtherValue& other) { return Shorten(other.text); },
      },
      value.value);
}

std::variant<std::vector<RawEntry>, SettingsError> ReadToml(
    std::string_view text,
    const std::string& name) {
  try {
    const toml::table table = toml::parse(text, name);
    std::vector<RawEntry> entries;
    Flatten("", ToRawTable(table), entries);
    return entries;
  } catch (const toml::parse_error& error) {
    const int line = static_cast<int>(error.source().begin.line);
    const std::string what = Shorten(std::string(error.description()));
    return SettingsError{name, line, "", what, "TOML 1.0"};
  }
}

}  // namespace bilberryspool::settings
