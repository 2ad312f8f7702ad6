#ifndef LIBS_SETTINGS_SETTINGS_ERROR_H_
#define LIBS_SETTINGS_SETTINGS_ERROR_H_

#include <string>
#include <vector>

namespace bilberryspool::settings {

// One error in a settings file, with all that is needed to fix the file.
struct SettingsError {
  std::string file;      // the name given to Parse or Load
  int line = 0;          // from 1; 0 if the key is missing
  std::string key;       // dotted, such as "log.level"; empty: whole file
  std::string found;     // the value, or what is wrong with it
  std::string accepted;  // what the key accepts

  bool operator==(const SettingsError&) const = default;
};

// "FILE:LINE: KEY: found FOUND; accepted: ACCEPTED", without a newline.
std::string ToString(const SettingsError& error);

// One line for each error, in the order of the file.
std::string ToString(const std::vector<SettingsError>& errors);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_SETTINGS_ERROR_H_
