#ifndef LIBS_CONFIG_OUTCOME_H_
#define LIBS_CONFIG_OUTCOME_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/object_update.h"

namespace bilberryspool::config {

// The command took effect, or the configuration already was as requested.
// `version` is the version after the command. `token` is set if the command
// granted a lease.
struct Accepted {
  ConfigVersion version;
  std::optional<FencingToken> token;

  bool operator==(const Accepted&) const = default;
};
BOOST_DESCRIBE_STRUCT(Accepted, (), (version, token))

enum class RefusalReason {
  // No changes, too many changes, or an invalid name.
  kMalformed,
  // Something changed since the version that the operator read.
  kChangedSince,
  // The version that the operator read is too old to tell what changed since.
  kVersionForgotten,
  // The version that the operator claims to have read doesn't exist yet.
  kVersionUnknown,
  // An object that is to be changed, or that another object refers to, doesn't
  // exist.
  kUnknownObject,
  // A number is out of range.
  kOutOfRange,
  // Two objects contradict each other.
  kConflict,
  // No target would be left that may serve a service.
  kNoTargetsLeft,
  // The id was already used for another command.
  kCommandIdReused,
  // The command is too old to tell whether it was executed before.
  kCommandForgotten,
  // The lease is held by another node or under another token.
  kLeaseTaken,
};
BOOST_DESCRIBE_ENUM(RefusalReason,
                    kMalformed,
                    kChangedSince,
                    kVersionForgotten,
                    kVersionUnknown,
                    kUnknownObject,
                    kOutOfRange,
                    kConflict,
                    kNoTargetsLeft,
                    kCommandIdReused,
                    kCommandForgotten,
                    kLeaseTaken)

// An accepted change that a refused command conflicts with.
struct ChangedSince {
  ConfigVersion version;
  OperatorId operator_id;
  CommandId command;
  // Names of the changed objects, such as "service drafter".
  std::vector<std::string> objects;

  bool operator==(const ChangedSince&) const = default;
};
BOOST_DESCRIBE_STRUCT(ChangedSince,
                      (),
                      (version, operator_id, command, objects))

// The command had no effect.
struct Refused {
  RefusalReason reason = RefusalReason::kMalformed;
  // A description for operators.
  std::string detail;
  // The conflicting changes for kChangedSince, the latest first.
  std::vector<ChangedSince> changed_since;

  bool operator==(const Refused&) const = default;
};
BOOST_DESCRIBE_STRUCT(Refused, (), (reason, detail, changed_since))

using Outcome = std::variant<Accepted, Refused>;

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_OUTCOME_H_
