#ifndef LIBS_CONFIG_COMMAND_EXECUTION_H_
#define LIBS_CONFIG_COMMAND_EXECUTION_H_

#include <optional>
#include <variant>
#include <vector>

#include "libs/config/command.h"
#include "libs/config/configuration.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config::internal {

// What a command did to a configuration; nothing where it found all as asked.
struct ExecutionResult {
  std::vector<ObjectUpdate> updates;
  // The reverse, in the order in which they are to be applied.
  std::vector<ObjectUpdate> undo;
  // The token granted, if any; always above `latest_token`.
  std::optional<FencingToken> token;
};

// Carries out all changes of `command` on `configuration` and raises its
// version by one if anything changed; leaves it as it was where one of them
// fails or the whole doesn't pass the checks.
std::variant<ExecutionResult, Refused> Execute(const Command& command,
                                               FencingToken latest_token,
                                               Configuration& configuration);

// The names of the objects that a change is about.
std::vector<std::string> TouchedObjects(const Change& change);

}  // namespace bilberryspool::config::internal

#endif  // LIBS_CONFIG_COMMAND_EXECUTION_H_
