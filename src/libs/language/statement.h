// The operators' statements, as types.

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

// Changes that take effect together or not at all.
struct ChangeStatement {
  std::vector<config::Change> changes;
  std::optional<config::Expectation> expected;
  std::optional<CommandId> id;

  bool operator==(const ChangeStatement&) const = default;
};

// Asks what changes would do.
struct PlanStatement {
  ChangeStatement change;

  bool operator==(const PlanStatement&) const = default;
};

// Waits until a version is in force everywhere.
struct WaitStatement {
  static constexpr Duration kDefaultTimeout = Seconds(10);

  ConfigVersion version;
  Duration timeout = kDefaultTimeout;

  bool operator==(const WaitStatement&) const = default;
};

// What `show` lists.
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

// Keeps the rows whose `column` compares so with `value`.
struct Filter {
  std::string column;
  Comparison comparison = Comparison::kEqual;
  std::string value;

  bool operator==(const Filter&) const = default;
};

struct ShowStatement {
  Subject subject = Subject::kConfig;
  // A row is shown where all of them hold.
  std::vector<Filter> where;

  bool operator==(const ShowStatement&) const = default;
};

// Asks for the state of one request.
struct ShowRequestStatement {
  RequestId id;

  bool operator==(const ShowRequestStatement&) const = default;
};

using WhySubject =
    std::variant<TargetId, ServiceId, GroupId, Workspace, RequestId>;

// Asks for the last decision about something, with its inputs.
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

// The command that a statement stands for. `fallback` is the id where the
// statement names none; `issued_after` as in config::Command.
config::Command ToCommand(const ChangeStatement& statement,
                          const CommandId& default_id,
                          const config::OperatorId& operator_id,
                          std::optional<LogIndex> issued_after);

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_STATEMENT_H_
