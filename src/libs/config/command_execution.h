#ifndef LIBS_CONFIG_COMMAND_EXECUTION_H_
#define LIBS_CONFIG_COMMAND_EXECUTION_H_

#include <optional>
#include <variant>
#include <vector>

#include "libs/config/command.h"
#include "libs/config/configuration.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config::internal {

// The updates that a command made to a configuration; empty if the
// configuration already was as requested.
struct ExecutionResult {
  std::vector<ObjectUpdate> updates;
  // The updates that undo `updates`, in the order in which to apply them.
  std::vector<ObjectUpdate> undo;
  // The token granted, if any; always above `latest_token`.
  std::optional<FencingToken> token;
};

// Applies all changes of `command` to `configuration` and raises its version by
// one if anything changed. Leaves `configuration` unchanged if a change fails
// or the result is invalid.
std::variant<ExecutionResult, Refused> Execute(const Command& command,
                                               FencingToken latest_token,
                                               Configuration& configuration);

// The names of the objects that a change affects.
std::vector<std::string> TouchedObjects(const Change& change);

}  // namespace bilberryspool::config::internal

#endif  // LIBS_CONFIG_COMMAND_EXECUTION_H_
