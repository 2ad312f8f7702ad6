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

// Settings files, by role, that may contain a key.
enum class KeyScope { kAll, kEntry, kAgent, kGateway, kControl, kSidecar };

// Behaviour if a key is missing.
struct Required {};
struct Optional {};
struct DefaultValue {
  KeyValue value;
};
using Presence = std::variant<Required, Optional, DefaultValue>;

// One key of the settings. Parsing, checks, defaults and docs/SETTINGS.md are
// all derived from the table of keys, so that they can't diverge.
struct KeySpec {
  std::string name;  // dotted; its last word is the unit
  KeyScope scope = KeyScope::kAll;
  KeyKind kind;
  Presence presence;
  std::string meaning;
  // Stores a valid value in settings of the role given by `scope`.
  std::function<void(Settings&, const KeyValue&)> store;
};

// The key that selects the role and so the keys that may appear in the file;
// not part of KeyTable().
inline constexpr std::string_view kRoleKey = "role";
inline constexpr std::string_view kEntryRole = "entry";
inline constexpr std::string_view kAgentRole = "agent";
inline constexpr std::string_view kGatewayRole = "gateway";
inline constexpr std::string_view kControlRole = "control";
inline constexpr std::string_view kSidecarRole = "sidecar";

const std::vector<KeySpec>& KeyTable();

// Returns whether a key with this scope is allowed in settings of this role.
bool AppliesTo(KeyScope scope, const Settings& settings);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_KEY_TABLE_H_
