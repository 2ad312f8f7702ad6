// A canonical serialization of values, from which digests are computed: the
// bytes of two values are equal if and only if the values are equal. Not a wire
// format; see json_value.h.

#ifndef LIBS_CONFIG_CANONICAL_FORM_H_
#define LIBS_CONFIG_CANONICAL_FORM_H_

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include <boost/describe.hpp>
#include <boost/mp11.hpp>

#include "libs/base/strong_type.h"
#include "libs/base/time.h"
#include "libs/config/change.h"
#include "libs/config/object_update.h"
#include "libs/config/type_name.h"

namespace bilberryspool::config::internal {

// Appends the canonical bytes of the values that are added.
class CanonicalForm {
 public:
  const std::string& bytes() const { return bytes_; }

  void Add(const std::string& text) {
    AddNumber(text.size());
    bytes_ += text;
  }

  void Add(double number) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &number, sizeof(bits));
    AddNumber(bits);
  }

  void Add(Duration duration) {
    AddNumber(static_cast<std::uint64_t>(duration.count()));
  }

  template <typename Tag, typename Value>
  void Add(const StrongType<Tag, Value>& strong) {
    Add(strong.value());
  }

  template <typename Tag>
  void Add(const StrongNumber<Tag>& strong) {
    Add(strong.value());
  }

  template <typename Value>
  void Add(const std::optional<Value>& value) {
    AddNumber(value.has_value() ? 1 : 0);
    if (value.has_value()) {
      Add(*value);
    }
  }

  template <typename Value>
  void Add(const std::vector<Value>& values) {
    AddNumber(values.size());
    for (const Value& value : values) {
      Add(value);
    }
  }

  template <typename... Values>
  void Add(const std::variant<Values...>& value) {
    std::visit(
        [this](const auto& held) {
          this->Add(TypeName<std::decay_t<decltype(held)>>::Value());
          this->Add(held);
        },
        value);
  }

  template <typename Spec>
  void Add(const Entry<Spec>& entry) {
    Add(std::string(Spec::kKind));
    Add(entry.spec);
    Add(entry.modified_at);
    Add(entry.modified_by);
  }

  template <typename Spec>
  void Add(const Declare<Spec>& change) {
    Add(change.spec);
  }

  template <typename Spec>
  void Add(const Remove<Spec>& change) {
    Add(change.key);
  }

  template <typename Value>
  void Add(const Value& value) {
    if constexpr (std::is_integral_v<Value> || std::is_enum_v<Value>) {
      AddNumber(static_cast<std::uint64_t>(value));
    } else {
      AddMembers(value);
    }
  }

 private:
  // Members with their default value are omitted: a member added by a newer
  // program version changes no fingerprint until it is used, so that both
  // program versions agree during an upgrade of the deployment.
  template <typename Value>
  void AddMembers(const Value& value) {
    const Value defaults{};
    using Members =
        boost::describe::describe_members<Value, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto member) {
      if (value.*member.pointer == defaults.*member.pointer) {
        return;
      }
      this->Add(std::string(member.name));
      this->Add(value.*member.pointer);
    });
    Add(std::string());
  }

  // Always little-endian, because replicas may run on different architectures.
  void AddNumber(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) {
      bytes_ +=
          static_cast<char>((number >> static_cast<unsigned>(shift)) & 0xffU);
    }
  }

  std::string bytes_;
};

// Fingerprint of the canonical bytes of a value.
std::uint64_t Fingerprint(const std::string& bytes);

template <typename Value>
std::uint64_t FingerprintOf(const Value& value) {
  CanonicalForm form;
  form.Add(value);
  return Fingerprint(form.bytes());
}

}  // namespace bilberryspool::config::internal

#endif  // LIBS_CONFIG_CANONICAL_FORM_H_
