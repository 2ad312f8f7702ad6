#include "libs/settings/settings_error.h"

namespace bilberryspool::settings {

std::string ToString(const SettingsError& error) {
  std::string text = error.file;
  if (error.line > 0) {
    text += ":" + std::to_string(error.line);
  }
  if (!error.key.empty()) {
    text += ": " + error.key;
  }
  return text + ": found " + error.found + "; accepted: " + error.accepted;
}

std::string ToString(const std::vector<SettingsError>& errors) {
  std::string text;
  for (const SettingsError& error : errors) {
    text += ToString(error) + "\n";
  }
  return text;
}

}  // namespace bilberryspool::settings
