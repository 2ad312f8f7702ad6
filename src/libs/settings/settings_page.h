#ifndef LIBS_SETTINGS_SETTINGS_PAGE_H_
#define LIBS_SETTINGS_SETTINGS_PAGE_H_

#include <string>

namespace bilberryspool::settings {

// Returns the whole text of docs/SETTINGS.md, generated from the table of keys.
std::string SettingsPage();

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_SETTINGS_PAGE_H_
