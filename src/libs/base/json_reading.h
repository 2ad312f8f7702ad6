// Typed access to the members of a JSON object.

#ifndef LIBS_BASE_JSON_READING_H_
#define LIBS_BASE_JSON_READING_H_

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberryspool::json_reading {

// Returns std::nullopt if `text` is not exactly one JSON object.
inline std::optional<boost::json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  boost::json::value value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

// These functions return std::nullopt if the member is missing or has another
// type.
inline std::optional<std::string> Text(const boost::json::object& object,
                                       std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->as_string());
}

// A non-negative integer.
inline std::optional<std::uint64_t> Number(const boost::json::object& object,
                                           std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional<std::uint64_t>(number);
}

inline std::optional<double> Decimal(const boost::json::object& object,
                                     std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  return error ? std::nullopt : std::optional<double>(number);
}

inline std::optional<bool> Flag(const boost::json::object& object,
                                std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_bool()) {
    return std::nullopt;
  }
  return value->as_bool();
}

// Returns null if the member is missing or not an array.
inline const boost::json::array* List(const boost::json::object& object,
                                      std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

// Reads an array of objects with `read`. Returns std::nullopt if `value` is not
// an array of objects or if `read` returns std::nullopt for one of them.
template <typename Item, typename Read>
std::optional<std::vector<Item>> ReadObjects(const boost::json::value& value,
                                             const Read& read) {
  const boost::json::array* array = value.if_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<Item> items;
  for (const boost::json::value& one : *array) {
    const std::optional<Item> item =
        one.is_object() ? read(one.get_object()) : std::nullopt;
    if (!item.has_value()) {
      return std::nullopt;
    }
    items.push_back(*item);
  }
  return items;
}

}  // namespace bilberryspool::json_reading

#endif  // LIBS_BASE_JSON_READING_H_
