#ifndef LIBS_SETTINGS_KEY_TABLE_H_
#define LIBS_SETTINGS_KEY_TABLE_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/settings/key_kind.h"
#include "libs/settings/settings.h"

namespace bilberryspool::settings {

// Which files a key may stand in.
enum class KeyScope { kAll, kEntry, kAgent, kGateway, kControl, kSidecar };

// What happens where a key is missing.
struct Required {};
struct Optional {};
struct DefaultValue {
  KeyValue value;
};
using Presence = std::variant<Required, Optional, DefaultValue>;

// One key of the settings. Parsing, checks, defaults and docs/SETTINGS.md all
// follow from the table of these, so that they can't drift apart.
struct KeySpec {
  std::string name;  // dotted; the unit is its last word
  KeyScope scope = KeyScope::kAll;
  KeyKind kind;
  Presence presence;
  std::string meaning;
  // Puts a checked value into settings of the role that `scope` allows.
  std::function<void(Settings&, const KeyValue&)> store;
};

// The key that says which keys may stand beside it; not part of KeyTable().
inline constexpr std::string_view kRoleKey = "role";
inline constexpr std::string_view kEntryRole = "entry";
inline constexpr std::string_view kAgentRole = "agent";
inline constexpr std::string_view kGatewayRole = "gateway";
inline constexpr std::string_view kControlRole = "control";
inline constexpr std::string_view kSidecarRole = "sidecar";

const std::vector<KeySpec>& KeyTable();

// Whether a key of that scope may stand in settings of that role.
bool AppliesTo(KeyScope scope, const Settings& settings);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_KEY_TABLE_H_
