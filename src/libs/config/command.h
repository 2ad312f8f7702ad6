#ifndef LIBS_CONFIG_COMMAND_H_
#define LIBS_CONFIG_COMMAND_H_

#include <cstdint>
#include <optional>
#include <vector>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/change.h"
#include "libs/config/object_update.h"

namespace bilberryspool::config {

// Which part of the configuration must be unchanged since the version that the
// operator read.
enum class CompareScope {
  // The whole configuration, except for changes that the system itself issued:
  // of two operators that read the same version only one is accepted, whatever
  // they change.
  kConfiguration,
  // The objects that the command changes: operators who change different
  // objects don't conflict.
  kObjects,
};
BOOST_DESCRIBE_ENUM(CompareScope, kConfiguration, kObjects)

// The version that a command is based on. The command is refused if anything in
// `scope` has changed since.
struct Expectation {
  ConfigVersion version;
  CompareScope scope = CompareScope::kConfiguration;

  bool operator==(const Expectation&) const = default;
};
BOOST_DESCRIBE_STRUCT(Expectation, (), (version, scope))

// A set of changes that an operator requests; either all or none take effect.
struct Command {
  // Chosen once per command; resends keep it.
  CommandId id;
  OperatorId operator_id;
  std::optional<Expectation> expected;
  std::vector<Change> changes;
  // The log index that had been applied on the node that first received the
  // command. With it, a resend that arrives after the record of its first
  // outcome was evicted is refused rather than executed twice.
  std::optional<LogIndex> issued_after;

  bool operator==(const Command&) const = default;
};
BOOST_DESCRIBE_STRUCT(Command,
                      (),
                      (id, operator_id, expected, changes, issued_after))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_COMMAND_H_
