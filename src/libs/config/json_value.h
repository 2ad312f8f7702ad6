// JSON encoding of the values that a configuration consists of, based on their
// described members. Reading is strict about types but lenient about presence:
// unknown members are ignored and missing ones keep their default, so that a
// newer program reads what an older one wrote. Invalid input never throws.

#ifndef LIBS_CONFIG_JSON_VALUE_H_
#define LIBS_CONFIG_JSON_VALUE_H_

#include <cctype>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <boost/mp11.hpp>

#include "libs/base/strong_type.h"
#include "libs/base/time.h"
#include "libs/config/change.h"
#include "libs/config/object_update.h"
#include "libs/config/type_name.h"

namespace bilberryspool::config::internal {

// Converts the name of an enumerator, such as "kEngine", to its JSON text, such
// as "engine".
inline std::string EnumText(const char* enumerator) {
  std::string text(enumerator + 1);
  text[0] = static_cast<char>(std::tolower(text[0]));
  return text;
}

// Converts values to JSON.
struct JsonWriter {
  using Json = boost::json::value;

  static Json Write(const std::string& text) { return Json(text); }
  static Json Write(bool flag) { return Json(flag); }
  static Json Write(double number) { return Json(number); }
  static Json Write(Duration duration) { return Json(duration.count()); }

  template <typename Tag, typename Value>
  static Json Write(const StrongType<Tag, Value>& strong) {
    return Write(strong.value());
  }

  template <typename Tag>
  static Json Write(const StrongNumber<Tag>& strong) {
    return Write(strong.value());
  }

  template <typename Value>
  static Json Write(const std::vector<Value>& values) {
    boost::json::array array;
    array.reserve(values.size());
    for (const Value& value : values) {
      array.push_back(Write(value));
    }
    return array;
  }

  template <typename... Values>
  static Json Write(const std::variant<Values...>& value) {
    return std::visit(
        [](const auto& held) -> Json {
          using Held = std::decay_t<decltype(held)>;
          boost::json::object object;
          object["type"] = TypeName<Held>::Value();
          object["value"] = Write(held);
          return object;
        },
        value);
  }

  template <typename Spec>
  static Json Write(const Declare<Spec>& change) {
    return Write(change.spec);
  }

  template <typename Spec>
  static Json Write(const Remove<Spec>& change) {
    return Write(change.key);
  }

  template <typename Spec>
  static Json Write(const Entry<Spec>& entry) {
    boost::json::object object;
    object["spec"] = Write(entry.spec);
    object["at"] = Write(entry.modified_at);
    object["by"] = Write(entry.modified_by);
    return object;
  }

  template <typename Spec>
  static Json Write(const Update<Spec>& update) {
    boost::json::object object;
    if (update.entry.has_value()) {
      object["entry"] = Write(*update.entry);
    } else {
      object["key"] = Write(update.key);
    }
    return object;
  }

  template <typename Value>
  static Json Write(const Value& value) {
    if constexpr (std::is_integral_v<Value>) {
      return Json(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_enum_v<Value>) {
      return Json(EnumText(boost::describe::enum_to_string(value, "kUnknown")));
    } else {
      return WriteMembers(value);
    }
  }

 private:
  template <typename Value>
  static void WriteMember(boost::json::object& object,
                          const char* name,
                          const Value& value) {
    object[name] = Write(value);
  }

  // An empty optional is written as an absent member.
  template <typename Value>
  static void WriteMember(boost::json::object& object,
                          const char* name,
                          const std::optional<Value>& value) {
    if (value.has_value()) {
      object[name] = Write(*value);
    }
  }

  template <typename Value>
  static Json WriteMembers(const Value& value) {
    boost::json::object object;
    using Members =
        boost::describe::describe_members<Value, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto member) {
      WriteMember(object, member.name, value.*member.pointer);
    });
    return object;
  }
};

// Reads values from JSON. The functions return false if the JSON doesn't match
// the type.
struct JsonReader {
  using Json = boost::json::value;

  static bool Read(const Json& json, std::string& text) {
    const auto* string = json.if_string();
    if (string != nullptr) {
      text.assign(string->data(), string->size());
    }
    return string != nullptr;
  }

  static bool Read(const Json& json, bool& flag) {
    const bool* value = json.if_bool();
    if (value != nullptr) {
      flag = *value;
    }
    return value != nullptr;
  }

  static bool Read(const Json& json, double& number) {
    boost::json::error_code error;
    number = json.to_number<double>(error);
    return !error && std::isfinite(number);
  }

  static bool Read(const Json& json, Duration& duration) {
    boost::json::error_code error;
    duration = Duration(json.to_number<std::int64_t>(error));
    return !error;
  }

  template <typename Tag, typename Value>
  static bool Read(const Json& json, StrongType<Tag, Value>& strong) {
    Value value{};
    const bool read = Read(json, value);
    strong = StrongType<Tag, Value>(std::move(value));
    return read;
  }

  template <typename Tag>
  static bool Read(const Json& json, StrongNumber<Tag>& strong) {
    std::uint64_t value = 0;
    const bool read = Read(json, value);
    strong = StrongNumber<Tag>(value);
    return read;
  }

  template <typename Value>
  static bool Read(const Json& json, std::optional<Value>& value) {
    value.emplace();
    return Read(json, *value);
  }

  template <typename Value>
  static bool Read(const Json& json, std::vector<Value>& values) {
    const auto* array = json.if_array();
    if (array == nullptr) {
      return false;
    }
    values.clear();
    for (const Json& element : *array) {
      if (!Read(element, values.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  template <typename... Values>
  static bool Read(const Json& json, std::variant<Values...>& value) {
    const auto* object = json.if_object();
    if (object == nullptr) {
      return false;
    }
    std::string type;
    const Json* type_json = object->if_contains("type");
    const Json* held = object->if_contains("value");
    if (type_json == nullptr || held == nullptr || !Read(*type_json, type)) {
      return false;
    }
    bool read = false;
    const auto try_alternative = [&](auto alternative) {
      using Held = typename decltype(alternative)::type;
      if (TypeName<Held>::Value() == type) {
        read = Read(*held, value.template emplace<Held>());
      }
    };
    (try_alternative(boost::mp11::mp_identity<Values>()), ...);
    return read;
  }

  template <typename Spec>
  static bool Read(const Json& json, Declare<Spec>& change) {
    return Read(json, change.spec);
  }

  template <typename Spec>
  static bool Read(const Json& json, Remove<Spec>& change) {
    return Read(json, change.key);
  }

  template <typename Spec>
  static bool Read(const Json& json, Entry<Spec>& entry) {
    const auto* object = json.if_object();
    if (object == nullptr || !object->contains("spec")) {
      return false;
    }
    return ReadMember(*object, "spec", entry.spec) &&
           ReadMember(*object, "at", entry.modified_at) &&
           ReadMember(*object, "by", entry.modified_by);
  }

  template <typename Spec>
  static bool Read(const Json& json, Update<Spec>& update) {
    const auto* object = json.if_object();
    if (object == nullptr) {
      return false;
    }
    if (const Json* entry = object->if_contains("entry")) {
      const bool read = Read(*entry, update.entry.emplace());
      update.key = update.entry->spec.key();
      return read;
    }
    const Json* key = object->if_contains("key");
    return key != nullptr && Read(*key, update.key);
  }

  template <typename Value>
  static bool Read(const Json& json, Value& value) {
    if constexpr (std::is_integral_v<Value>) {
      boost::json::error_code error;
      value = json.to_number<Value>(error);
      return !error;
    } else if constexpr (std::is_enum_v<Value>) {
      return ReadEnum(json, value);
    } else {
      return ReadMembers(json, value);
    }
  }

 private:
  template <typename Value>
  static bool ReadEnum(const Json& json, Value& value) {
    std::string text;
    bool found = false;
    if (!Read(json, text)) {
      return false;
    }
    using Enumerators = boost::describe::describe_enumerators<Value>;
    boost::mp11::mp_for_each<Enumerators>([&](auto enumerator) {
      if (EnumText(enumerator.name) == text) {
        value = enumerator.value;
        found = true;
      }
    });
    return found;
  }

  template <typename Value>
  static bool ReadMember(const boost::json::object& object,
                         const char* name,
                         Value& value) {
    const Json* json = object.if_contains(name);
    return json == nullptr || Read(*json, value);
  }

  template <typename Value>
  static bool ReadMembers(const Json& json, Value& value) {
    const auto* object = json.if_object();
    if (object == nullptr) {
      return false;
    }
    bool read = true;
    using Members =
        boost::describe::describe_members<Value, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto member) {
      read = read && ReadMember(*object, member.name, value.*member.pointer);
    });
    return read;
  }
};

}  // namespace bilberryspool::config::internal

#endif  // LIBS_CONFIG_JSON_VALUE_H_
