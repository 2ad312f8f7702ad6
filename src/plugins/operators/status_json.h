#ifndef PLUGINS_OPERATORS_STATUS_JSON_H_
#define PLUGINS_OPERATORS_STATUS_JSON_H_

#include <string>

#include "libs/base/time.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

// This entry's control replica and configuration, for programs: {"role",
// "term", "leader", "commit_index", "applied_index", "has_lease", "members":
// {node: standing}, "awaiting_admission": [node], "version", "config_age_s"}.
// `leader` and `config_age_s` are null if they are not known.
std::string StatusJson(const control::OperatorControl& control, TimePoint now);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_STATUS_JSON_H_
