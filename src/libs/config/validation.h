// Validates a whole configuration: names, ranges, references and conflicts
// between objects. A change is validated by the configuration that it results
// in, so no order of changes can circumvent a rule.

#ifndef LIBS_CONFIG_VALIDATION_H_
#define LIBS_CONFIG_VALIDATION_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/configuration.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config {

// Names consist of 1 to 128 letters, digits and "._-/:", so that every object
// can be written in the operators' language.
bool IsValidName(std::string_view name);

// The first error found, or none.
std::optional<Refused> Validate(const Configuration& configuration);

// Services with at least one placement whose target selector isn't drained.
std::set<ServiceId> ServedServices(const Configuration& configuration);

// Problems that are allowed but may be unintended; shown by `plan`.
std::vector<std::string> Warnings(const Configuration& configuration);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_VALIDATION_H_
