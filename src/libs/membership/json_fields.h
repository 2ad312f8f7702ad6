// Encodes structs as JSON arrays and decodes them. A struct lists its fields
// once, in an overload of Fields(), which both directions use.

#ifndef LIBS_MEMBERSHIP_JSON_FIELDS_H_
#define LIBS_MEMBERSHIP_JSON_FIELDS_H_

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "libs/base/strong_type.h"
#include "libs/base/time.h"

namespace bilberryspool::membership::internal {

// A fraction encoded in thousandths, as doubles are long in JSON.
template <typename Number>
struct Thousandths {
  Number* value;
};
template <typename Number>
Thousandths(Number*) -> Thousandths<Number>;

// A duration encoded in microseconds; other durations are in milliseconds.
template <typename Span>
struct InMicroseconds {
  Span* value;
};
template <typename Span>
InMicroseconds(Span*) -> InMicroseconds<Span>;

// An enumeration with values from 0 to `last`, encoded as a number.
template <typename Enum>
struct EnumField {
  Enum* value;
  int last;
};
template <typename Enum>
EnumField(Enum*, int) -> EnumField<Enum>;

inline boost::json::value Encode(const std::string& text) {
  return boost::json::string(text);
}
inline boost::json::value Encode(bool flag) {
  return flag ? 1 : 0;
}
inline boost::json::value Encode(std::uint32_t number) {
  return number;
}
inline boost::json::value Encode(std::uint64_t number) {
  return number;
}
inline boost::json::value Encode(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}
template <typename Number>
boost::json::value Encode(const Thousandths<Number>& fraction) {
  return static_cast<std::int64_t>(std::lround(*fraction.value * 1000.0));
}
template <typename Span>
boost::json::value Encode(const InMicroseconds<Span>& span) {
  return span.value->count();
}
template <typename Enum>
boost::json::value Encode(const EnumField<Enum>& choice) {
  return static_cast<int>(*choice.value);
}
template <typename Tag, typename Value>
boost::json::value Encode(const StrongType<Tag, Value>& id) {
  return Encode(id.value());
}
template <typename Struct>
auto Encode(const Struct& item) -> decltype(Fields(item), boost::json::value());
template <typename Item>
boost::json::value Encode(const std::vector<Item>& items) {
  boost::json::array array;
  array.reserve(items.size());
  for (const Item& item : items) {
    array.push_back(Encode(item));
  }
  return array;
}
template <typename Struct>
auto Encode(const Struct& item)
    -> decltype(Fields(item), boost::json::value()) {
  boost::json::array array;
  std::apply(
      [&](const auto&... field) { (array.push_back(Encode(field)), ...); },
      Fields(item));
  return array;
}

inline bool DecodeCount(const boost::json::value& json, std::uint64_t* out) {
  if (const std::int64_t* number = json.if_int64()) {
    *out = static_cast<std::uint64_t>(*number);
    return *number >= 0;
  }
  if (const std::uint64_t* number = json.if_uint64()) {
    *out = *number;
    return true;
  }
  return false;
}

inline bool Decode(const boost::json::value& json, std::string* out) {
  const boost::json::string* text = json.if_string();
  if (text == nullptr) {
    return false;
  }
  out->assign(text->data(), text->size());
  return true;
}
inline bool Decode(const boost::json::value& json, std::uint64_t* out) {
  return DecodeCount(json, out);
}
inline bool Decode(const boost::json::value& json, std::uint32_t* out) {
  std::uint64_t number = 0;
  if (!DecodeCount(json, &number) || number > UINT32_MAX) {
    return false;
  }
  *out = static_cast<std::uint32_t>(number);
  return true;
}
inline bool Decode(const boost::json::value& json, bool* out) {
  std::uint64_t number = 0;
  if (!DecodeCount(json, &number) || number > 1) {
    return false;
  }
  *out = number == 1;
  return true;
}
// Maximum duration accepted. Larger ones are invalid and would overflow in
// sums.
inline constexpr Duration kMaxSpan = Seconds(365LL * 24 * 3600);
inline bool DecodeSpan(const boost::json::value& json,
                       Duration unit,
                       Duration* out) {
  std::uint64_t number = 0;
  if (!DecodeCount(json, &number) ||
      number > static_cast<std::uint64_t>(kMaxSpan / unit)) {
    return false;
  }
  *out = unit * static_cast<Duration::rep>(number);
  return true;
}
inline bool Decode(const boost::json::value& json, Duration* out) {
  return DecodeSpan(json, Milliseconds(1), out);
}
inline bool Decode(const boost::json::value& json,
                   InMicroseconds<Duration>* out) {
  return DecodeSpan(json, Microseconds(1), out->value);
}
inline bool Decode(const boost::json::value& json, Thousandths<double>* out) {
  std::uint64_t number = 0;
  if (!DecodeCount(json, &number) || number > 1000) {
    return false;
  }
  *out->value = static_cast<double>(number) / 1000.0;
  return true;
}
template <typename Enum>
bool Decode(const boost::json::value& json, EnumField<Enum>* out) {
  std::uint64_t number = 0;
  if (!DecodeCount(json, &number) ||
      number > static_cast<std::uint64_t>(out->last)) {
    return false;
  }
  *out->value = static_cast<Enum>(number);
  return true;
}
template <typename Tag, typename Value>
bool Decode(const boost::json::value& json, StrongType<Tag, Value>* out) {
  Value value{};
  if (!Decode(json, &value)) {
    return false;
  }
  *out = StrongType<Tag, Value>(std::move(value));
  return true;
}
template <typename Tag>
bool Decode(const boost::json::value& json, StrongNumber<Tag>* out) {
  std::uint64_t value = 0;
  if (!DecodeCount(json, &value)) {
    return false;
  }
  *out = StrongNumber<Tag>(value);
  return true;
}
template <typename Struct>
auto Decode(const boost::json::value& json, Struct* out)
    -> decltype(Fields(*out), bool());
template <typename Item>
bool Decode(const boost::json::value& json, std::vector<Item>* out) {
  const boost::json::array* array = json.if_array();
  if (array == nullptr) {
    return false;
  }
  out->clear();
  for (const boost::json::value& element : *array) {
    Item item;
    if (!Decode(element, &item)) {
      return false;
    }
    out->push_back(std::move(item));
  }
  return true;
}
template <typename Struct>
auto Decode(const boost::json::value& json, Struct* out)
    -> decltype(Fields(*out), bool()) {
  auto fields = Fields(*out);
  const boost::json::array* array = json.if_array();
  if (array == nullptr || array->size() < std::tuple_size_v<decltype(fields)>) {
    return false;
  }
  std::size_t next = 0;
  return std::apply(
      [&](auto&&... field) {
        return (Decode((*array)[next++], &field) && ...);
      },
      fields);
}

}  // namespace bilberryspool::membership::internal

#endif  // LIBS_MEMBERSHIP_JSON_FIELDS_H_
