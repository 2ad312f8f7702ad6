#ifndef LIBS_SETTINGS_CONTRADICTIONS_H_
#define LIBS_SETTINGS_CONTRADICTIONS_H_

#include <string>
#include <vector>

#include "libs/settings/settings.h"

namespace bilberryspool::settings {

// Two keys that are each valid but contradict each other.
struct Contradiction {
  std::string key;  // the key to change first
  std::string found;
  std::string accepted;
};

// Returns all contradictions of settings whose keys are each valid.
std::vector<Contradiction> FindContradictions(const Settings& settings);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_CONTRADICTIONS_H_
