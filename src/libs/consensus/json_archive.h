#ifndef LIBS_CONSENSUS_JSON_ARCHIVE_H_
#define LIBS_CONSENSUS_JSON_ARCHIVE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <boost/json.hpp>

#include "libs/base/strong_type.h"

namespace bilberryspool::consensus::internal {

// Serializes and deserializes structs through one list of their fields:
//   template <typename Archive> void Fields(Archive& archive, Append& it) {
//     archive("commit", it.commit);
//   }
// and variants by the names of their alternatives, see NamesOf.

// JSON strings are Unicode and payloads are bytes: each byte becomes the code
// point of its value, so plain text stays as it is.
std::string BytesToUtf8(const std::string& bytes);
// Returns false if `utf8` contains anything but code points up to 0xFF.
bool Utf8ToBytes(std::string_view utf8, std::string& bytes);

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T>
struct IsVariant : std::false_type {};
template <typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type {};
template <typename T>
concept HasStrongValue = requires(const T& it) {
  typename T::ValueType;
  it.value();
};

// Names of a variant's alternatives, in order; specialized by the codec.
template <typename Variant>
struct NamesOf;

inline constexpr const char* kKindKey = "kind";

class JsonWriter {
 public:
  template <typename T>
  void operator()(const char* key, T& value) {
    object_[key] = Write(value);
  }

  template <typename T>
  static boost::json::value Write(T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      return boost::json::string(BytesToUtf8(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      return value;
    } else if constexpr (HasStrongValue<T>) {
      auto inner = value.value();
      return Write(inner);
    } else if constexpr (IsVector<T>::value) {
      return WriteArray(value);
    } else if constexpr (IsOptional<T>::value) {
      return value ? Write(*value) : boost::json::value();
    } else {
      return WriteObject(value);
    }
  }

 private:
  template <typename T>
  static boost::json::value WriteArray(T& items) {
    boost::json::array array;
    for (auto& item : items) {
      array.push_back(Write(item));
    }
    return array;
  }

  template <typename T>
  static boost::json::value WriteObject(T& value) {
    JsonWriter writer;
    if constexpr (IsVariant<T>::value) {
      writer.object_[kKindKey] = NamesOf<T>::kNames[value.index()];
      std::visit([&](auto& it) { Fields(writer, it); }, value);
    } else {
      Fields(writer, value);
    }
    return std::move(writer.object_);
  }

  boost::json::object object_;
};

class JsonReader {
 public:
  explicit JsonReader(const boost::json::object& object) : object_(object) {}

  template <typename T>
  void operator()(const char* key, T& value) {
    const boost::json::value* found = object_.if_contains(key);
    ok_ = ok_ && found != nullptr && Read(*found, value);
  }

  bool ok() const { return ok_; }

  // Returns false if `json` does not match T; `value` is then unspecified.
  template <typename T>
  static bool Read(const boost::json::value& json, T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      return json.is_string() && Utf8ToBytes(json.get_string(), value);
    } else if constexpr (std::is_same_v<T, bool>) {
      return json.is_bool() && (value = json.get_bool(), true);
    } else if constexpr (std::is_arithmetic_v<T>) {
      boost::json::error_code error;
      value = json.to_number<T>(error);
      return !error;
    } else if constexpr (HasStrongValue<T>) {
      typename T::ValueType inner{};
      const bool ok = Read(json, inner);
      value = T(std::move(inner));
      return ok;
    } else if constexpr (IsVector<T>::value) {
      return ReadArray(json, value);
    } else if constexpr (IsOptional<T>::value) {
      return json.is_null() || Read(json, value.emplace());
    } else {
      return ReadObject(json, value);
    }
  }

 private:
  template <typename T>
  static bool ReadArray(const boost::json::value& json, T& items) {
    if (!json.is_array()) {
      return false;
    }
    for (const boost::json::value& item : json.get_array()) {
      if (!Read(item, items.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  template <typename T>
  static bool ReadObject(const boost::json::value& json, T& value) {
    if (!json.is_object()) {
      return false;
    }
    JsonReader reader(json.get_object());
    if constexpr (IsVariant<T>::value) {
      if (!reader.EmplaceKind(value)) {
        return false;
      }
      std::visit([&](auto& it) { Fields(reader, it); }, value);
    } else {
      Fields(reader, value);
    }
    return reader.ok();
  }

  template <typename T>
  bool EmplaceKind(T& value) const {
    const boost::json::value* kind = object_.if_contains(kKindKey);
    if (kind == nullptr || !kind->is_string()) {
      return false;
    }
    const std::string_view name = kind->get_string();
    return EmplaceNamed(value, name,
                        std::make_index_sequence<std::variant_size_v<T>>());
  }

  template <typename T, std::size_t... Is>
  static bool EmplaceNamed(T& value,
                           std::string_view name,
                           std::index_sequence<Is...> /*indices*/) {
    return ((name == NamesOf<T>::kNames[Is] &&
             (value.template emplace<Is>(), true)) ||
            ...);
  }

  const boost::json::object& object_;
  bool ok_ = true;
};

}  // namespace bilberryspool::consensus::internal

#endif  // LIBS_CONSENSUS_JSON_ARCHIVE_H_
