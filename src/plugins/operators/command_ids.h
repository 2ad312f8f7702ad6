#ifndef PLUGINS_OPERATORS_COMMAND_IDS_H_
#define PLUGINS_OPERATORS_COMMAND_IDS_H_

#include "libs/base/ids.h"

namespace bilberryspool::operators {

// Returns 24 random hexadecimal digits, so that no earlier command has the id.
CommandId MakeCommandId();

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_COMMAND_IDS_H_
