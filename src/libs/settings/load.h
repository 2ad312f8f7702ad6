#ifndef LIBS_SETTINGS_LOAD_H_
#define LIBS_SETTINGS_LOAD_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/settings/settings.h"
#include "libs/settings/settings_error.h"

namespace bilberryspool::settings {

using LoadResult = std::variant<Settings, std::vector<SettingsError>>;

// Reads and checks a settings file. Returns all errors at once, sorted by line,
// with missing keys first.
LoadResult Load(const std::string& path);

// Same for a text; `name` is the file name for errors. Never throws for any
// text.
LoadResult Parse(std::string_view text, const std::string& name);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_LOAD_H_
