#ifndef LIBS_SETTINGS_KEY_KIND_H_
#define LIBS_SETTINGS_KEY_KIND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/settings/raw_value.h"
#include "libs/settings/settings.h"

namespace bilberryspool::settings {

// What a key accepts.
struct FlagKind {};
struct IntegerKind {
  std::int64_t min = 0;
  std::int64_t max = 0;
};
// A path of the file system.
struct PathKind {
  bool may_be_empty = false;
};
// A name that also serves in statements and labels: 1 to 64 letters, digits,
// '.', '_' and '-', a letter or digit first.
struct NameKind {};
struct NameListKind {
  std::size_t min_size = 0;
};
struct ChoiceKind {
  std::vector<std::string> choices;
};
struct AddressKind {
  // False where others must reach the address: "0.0.0.0" would lead them to
  // themselves.
  bool may_be_wildcard = false;
};
struct AddressListKind {
  std::size_t min_size = 0;
};
struct MemberListKind {};
// A number that need not be whole.
struct NumberKind {
  double min = 0.0;
  double max = 0.0;
};

using KeyKind = std::variant<FlagKind,
                             IntegerKind,
                             PathKind,
                             NameKind,
                             NameListKind,
                             ChoiceKind,
                             AddressKind,
                             AddressListKind,
                             MemberListKind,
                             NumberKind>;

// A checked value. Names and paths are texts.
using KeyValue = std::variant<bool,
                              std::int64_t,
                              std::string,
                              std::vector<std::string>,
                              SocketAddress,
                              std::vector<SocketAddress>,
                              std::vector<InitialMember>,
                              double>;

// The checked value, or nothing where `raw` is not of that kind.
std::optional<KeyValue> Convert(const KeyKind& kind, const RawValue& raw);

// What the kind accepts, in words; for errors and for docs/SETTINGS.md.
std::string DescribeAccepted(const KeyKind& kind);

// The value in the notation of TOML.
std::string ToToml(const KeyValue& value);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_KEY_KIND_H_
