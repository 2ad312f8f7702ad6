#ifndef LIBS_SETTINGS_TOML_READER_H_
#define LIBS_SETTINGS_TOML_READER_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/settings/raw_value.h"
#include "libs/settings/settings_error.h"

namespace bilberryspool::settings {

// Returns the keys of a TOML text, with tables flattened to dotted names, or
// the first syntax error. An empty table is an entry of its own.
std::variant<std::vector<RawEntry>, SettingsError> ReadToml(
    std::string_view text,
    const std::string& name);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_TOML_READER_H_
