#include "libs/settings/load.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/settings/contradictions.h"
#include "libs/settings/key_table.h"
#include "libs/settings/toml_reader.h"

namespace bilberryspool::settings {
namespace {

constexpr std::size_t kMaxFileBytes = 1024UL * 1024;

// Checks the entries of one file against the table of keys.
class Checker {
 public:
  Checker(std::string name, std::vector<RawEntry> entries)
      : name_(std::move(name)) {
    for (RawEntry& entry : entries) {
      entries_.emplace(std::move(entry.key), std::move(entry.value));
    }
  }

  LoadResult Run() {
    if (!ReadRole()) {
      return errors_;
    }
    RefuseUnknownKeys();
    for (const KeySpec& spec : KeyTable()) {
      if (AppliesTo(spec.scope, settings_)) {
        ReadKey(spec);
      }
    }
    CheckGroupPlace();
    if (errors_.empty()) {
      RefuseContradictions();
    }
    if (errors_.empty()) {
      return settings_;
    }
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const SettingsError& a, const SettingsError& b) {
                       return a.line < b.line;
                     });
    return errors_;
  }

 private:
  const RawValue* Find(std::string_view key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
  }

  void Refuse(std::string key, std::string found, std::string accepted) {
    const RawValue* raw = Find(key);
    const int line = raw != nullptr ? raw->line : 0;
    errors_.push_back(
        {name_, line, std::move(key), std::move(found), std::move(accepted)});
  }

  // The role determines which keys are known, so no other key is checked
  // without it.
  bool ReadRole() {
    const RawValue* raw = Find(kRoleKey);
    const auto* text =
        raw != nullptr ? std::get_if<std::string>(&raw->value) : nullptr;
    const std::string role = text != nullptr ? *text : "";
    if (role == kEntryRole) {
      settings_.role.emplace<EntrySettings>();
    } else if (role == kAgentRole) {
      settings_.role.emplace<AgentSettings>();
    } else if (role == kGatewayRole) {
      settings_.role.emplace<GatewaySettings>();
    } else if (role == kControlRole) {
      settings_.role.emplace<ControlSettings>();
    } else if (role == kSidecarRole) {
      settings_.role.emplace<SidecarSettings>();
    } else {
      Refuse(std::string(kRoleKey), raw != nullptr ? Describe(*raw) : "nothing",
             "one of \"entry\", \"agent\", \"gateway\", \"control\", "
             "\"sidecar\"");
      return false;
    }
    return true;
  }

  void RefuseUnknownKeys() {
    for (const auto& [key, raw] : entries_) {
      if (key == kRoleKey || IsEmptyTableOfKnownKeys(key, raw)) {
        continue;
      }
      const KeySpec* spec = FindSpec(key);
      if (spec == nullptr) {
        Refuse(key, "an unknown key", "the keys of docs/SETTINGS.md");
      } else if (!AppliesTo(spec->scope, settings_)) {
        Refuse(key, "a key of another role",
               "this key beside role = \"" + std::string(RoleOf(spec->scope)) +
                   "\"");
      }
    }
  }

  static std::string_view RoleOf(KeyScope scope) {
    switch (scope) {
      case KeyScope::kAll:
      case KeyScope::kEntry:
        return kEntryRole;
      case KeyScope::kAgent:
        return kAgentRole;
      case KeyScope::kGateway:
        return kGatewayRole;
      case KeyScope::kControl:
        return kControlRole;
      case KeyScope::kSidecar:
        return kSidecarRole;
    }
    return kEntryRole;
  }

  // Several roles may have a key with the same name; the key of the current
  // role is preferred.
  const KeySpec* FindSpec(const std::string& key) const {
    const KeySpec* other = nullptr;
    for (const KeySpec& spec : KeyTable()) {
      if (spec.name != key) {
        continue;
      }
      if (AppliesTo(spec.scope, settings_)) {
        return &spec;
      }
      if (other == nullptr) {
        other = &spec;
      }
    }
    return other;
  }

  // Returns whether this is a table heading such as [log] without keys.
  bool IsEmptyTableOfKnownKeys(const std::string& key,
                               const RawValue& raw) const {
    if (!std::holds_alternative<RawTable>(raw.value)) {
      return false;
    }
    return std::any_of(KeyTable().begin(), KeyTable().end(),
                       [&](const KeySpec& spec) {
                         return AppliesTo(spec.scope, settings_) &&
                                spec.name.starts_with(key + ".");
                       });
  }

  // Where there is no value for a number, its text in a template is left empty,
  // or as it is by a platform that doesn't know the field.
  static bool IsNumberLeftEmpty(const KeySpec& spec, const RawValue& raw) {
    const auto* text = std::get_if<std::string>(&raw.value);
    return text != nullptr && (text->empty() || text->starts_with("{{")) &&
           std::holds_alternative<NumberKind>(spec.kind) &&
           std::holds_alternative<DefaultValue>(spec.presence);
  }

  void ReadKey(const KeySpec& spec) {
    const RawValue* raw = Find(spec.name);
    if (raw == nullptr || IsNumberLeftEmpty(spec, *raw)) {
      HandleMissingKey(spec);
      return;
    }
    const std::optional<KeyValue> value = Convert(spec.kind, *raw);
    if (!value) {
      Refuse(spec.name, Describe(*raw), DescribeAccepted(spec.kind));
      return;
    }
    spec.store(settings_, *value);
  }

  void HandleMissingKey(const KeySpec& spec) {
    std::visit(Overloaded{
                   [&](const Required&) {
                     Refuse(spec.name, "nothing", DescribeAccepted(spec.kind));
                   },
                   [](const Optional&) {},
                   [&](const DefaultValue& fallback) {
                     spec.store(settings_, fallback.value);
                   },
               },
               spec.presence);
  }

  // A rank without a group would join the group with an empty name, and a group
  // without a rank would claim rank 0; only the entries show which of the two
  // keys is missing.
  void CheckGroupPlace() {
    const bool has_name = Find("group.name") != nullptr;
    const bool has_rank = Find("group.rank") != nullptr;
    if (has_name == has_rank) {
      return;
    }
    Refuse(has_name ? "group.name" : "group.rank",
           has_name ? "no group.rank beside it" : "no group.name beside it",
           "both or neither");
  }

  void RefuseContradictions() {
    for (Contradiction& found : FindContradictions(settings_)) {
      Refuse(std::move(found.key), std::move(found.found),
             std::move(found.accepted));
    }
  }

  std::string name_;
  std::map<std::string, RawValue, std::less<>> entries_;
  Settings settings_;
  std::vector<SettingsError> errors_;
};

LoadResult FileError(const std::string& path, std::string found) {
  return std::vector<SettingsError>{
      {path, 0, "", std::move(found), "a readable file of at most 1 MiB"}};
}

}  // namespace

LoadResult Load(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return FileError(path, "no file that can be opened");
  }
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return FileError(path, "a file that can't be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return FileError(path, "more than 1 MiB");
  }
  return Parse(text, path);
}

LoadResult Parse(std::string_view text, const std::string& name) {
  auto read = ReadToml(text, name);
  if (auto* error = std::get_if<SettingsError>(&read)) {
    return std::vector<SettingsError>{std::move(*error)};
  }
  auto& entries = std::get<std::vector<RawEntry>>(read);
  return Checker(name, std::move(entries)).Run();
}

}  // namespace bilberryspool::settings
