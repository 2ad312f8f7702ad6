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

// Types of values that a key accepts, with their limits.
struct FlagKind {};
struct IntegerKind {
  std::int64_t min = 0;
  std::int64_t max = 0;
};
// A file system path.
struct PathKind {
  bool may_be_empty = false;
};
// A name that may also be used in statements and labels: 1 to 64 letters,
// digits, '.', '_' and '-', starting with a letter or digit.
struct NameKind {};
struct NameListKind {
  std::size_t min_size = 0;
};
struct ChoiceKind {
  std::vector<std::string> choices;
};
struct AddressKind {
  // False if other processes must reach the address, since "0.0.0.0" would
  // refer to their own VM.
  bool may_be_wildcard = false;
};
struct AddressListKind {
  std::size_t min_size = 0;
};
struct MemberListKind {};
// A number that may have a fraction.
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

// A valid value. Names and paths are strings.
using KeyValue = std::variant<bool,
                              std::int64_t,
                              std::string,
                              std::vector<std::string>,
                              SocketAddress,
                              std::vector<SocketAddress>,
                              std::vector<InitialMember>,
                              double>;

// Returns the valid value, or std::nullopt if `raw` is not of this kind.
std::optional<KeyValue> Convert(const KeyKind& kind, const RawValue& raw);

// Describes in words what the kind accepts, for error messages and
// docs/SETTINGS.md.
std::string DescribeAccepted(const KeyKind& kind);

// Formats the value as TOML.
std::string ToToml(const KeyValue& value);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_KEY_KIND_H_
