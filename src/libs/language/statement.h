// Types of the operators' statements.

#ifndef LIBS_LANGUAGE_STATEMENT_H_
#define LIBS_LANGUAGE_STATEMENT_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/config/change.h"
#include "libs/config/command.h"

namespace bilberryspool::language {

// Changes of which either all or none take effect.
struct ChangeStatement {
  std::vector<config::Change> changes;
  std::optional<config::Expectation> expected;
  std::optional<CommandId> id;

  bool operator==(const ChangeStatement&) const = default;
};

// Requests the effects that changes would have.
struct PlanStatement {
  ChangeStatement change;

  bool operator==(const PlanStatement&) const = default;
};

// Waits until a version is in force on all nodes.
struct WaitStatement {
  static constexpr Duration kDefaultTimeout = Seconds(10);

  ConfigVersion version;
  Duration timeout = kDefaultTimeout;

  bool operator==(const WaitStatement&) const = default;
};

// The kinds of tables that `show` can list.
enum class Subject {
  kConfig,
  kDomains,
  kDrains,
  kGroups,
  kLeases,
  kMembers,
  kMoves,
  kPins,
  kPlacements,
  kPriorities,
  kServices,
  kSettings,
  kTargets,
  kVersion,
  kWorkspaces,
};

struct SubjectWord {
  const char* word;
  Subject subject;
};

inline constexpr SubjectWord kSubjectWords[] = {
    {"config", Subject::kConfig},         {"domains", Subject::kDomains},
    {"drains", Subject::kDrains},         {"groups", Subject::kGroups},
    {"leases", Subject::kLeases},         {"members", Subject::kMembers},
    {"moves", Subject::kMoves},           {"pins", Subject::kPins},
    {"placements", Subject::kPlacements}, {"priorities", Subject::kPriorities},
    {"services", Subject::kServices},     {"settings", Subject::kSettings},
    {"targets", Subject::kTargets},       {"version", Subject::kVersion},
    {"workspaces", Subject::kWorkspaces},
};

enum class Comparison { kEqual, kNotEqual, kLess, kGreater, kContains };

struct ComparisonSign {
  const char* sign;
  Comparison comparison;
};

inline constexpr ComparisonSign kComparisonSigns[] = {
    {"=", Comparison::kEqual},
    {"!=", Comparison::kNotEqual},
    {"<", Comparison::kLess},
    {">", Comparison::kGreater},
    {"~", Comparison::kContains}};

// Selects the rows whose cell in `column` compares to `value` as specified by
// `comparison`.
struct Filter {
  std::string column;
  Comparison comparison = Comparison::kEqual;
  std::string value;

  bool operator==(const Filter&) const = default;
};

struct ShowStatement {
  Subject subject = Subject::kConfig;
  // A row is shown if it matches all filters.
  std::vector<Filter> where;

  bool operator==(const ShowStatement&) const = default;
};

// Requests the state of one request.
struct ShowRequestStatement {
  RequestId id;

  bool operator==(const ShowRequestStatement&) const = default;
};

using WhySubject =
    std::variant<TargetId, ServiceId, GroupId, Workspace, RequestId>;

// Requests the last decision about the subject, with its inputs.
struct WhyStatement {
  WhySubject about;

  bool operator==(const WhyStatement&) const = default;
};

struct HelpStatement {
  bool operator==(const HelpStatement&) const = default;
};

using Statement = std::variant<ChangeStatement,
                               PlanStatement,
                               WaitStatement,
                               ShowStatement,
                               ShowRequestStatement,
                               WhyStatement,
                               HelpStatement>;

// Converts a statement to a command. `default_id` is used if the statement
// specifies no id; `issued_after` is described in config::Command.
config::Command ToCommand(const ChangeStatement& statement,
                          const CommandId& default_id,
                          const config::OperatorId& operator_id,
                          std::optional<LogIndex> issued_after);

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_STATEMENT_H_
