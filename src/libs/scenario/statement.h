// The statements of a scenario file, as types. docs/SCENARIOS.md explains them.

#ifndef LIBS_SCENARIO_STATEMENT_H_
#define LIBS_SCENARIO_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::scenario {

// The nodes that take part; always the first statement.
struct Deployment {
  std::uint32_t entries = 3;
  std::vector<std::string> domains{"sahab", "marka", "abdali"};
  // The first so many entries found the control group.
  std::uint32_t control = 3;
  // The entries after them that have an empty data folder.
  std::uint32_t spares = 0;
  std::uint32_t agents = 0;
  // What each target serves.
  std::vector<std::string> services{"drafter"};
};

// An operator's statement, as typed.
struct Order {
  std::string operator_name;
  std::string entry;
  std::string text;
  // Where `text` begins in its line, from 0.
  std::size_t offset = 0;
};

// Gives the present leader another name.
struct NameLeader {
  std::string name;
};

enum class NodeFault {
  kKill,
  kRestart,
  // Ends the process and empties its data folder.
  kLoseDisk,
  kFreeze,
  kThaw,
  // A target's planned stop.
  kPlannedStop,
};
struct FaultNode {
  NodeFault fault = NodeFault::kKill;
  std::string node;
};

// Names of nodes or failure domains; "everyone" is all other nodes.
struct Cut {
  std::vector<std::string> from;
  std::vector<std::string> to;
  bool one_way = false;
};
struct Heal {};

// Of all links from now on.
struct SetDelay {
  Duration max_delay{};
};
struct SetDuplication {
  std::uint32_t percent = 0;
};
struct SetLoss {
  std::uint32_t percent = 0;
};

struct SendRequest {
  std::string id;
  std::string service = "drafter";
  bool idempotent = true;
  std::string entry;
};
// The same request again, maybe through another entry.
struct ResendRequest {
  std::string id;
  std::string entry;
};
// Requests through all entries in turn, beside the statements that follow.
struct Load {
  std::uint32_t per_second = 0;
  Duration duration{};
  std::string service = "drafter";
  bool idempotent = true;
};

struct Wait {
  Duration duration{};
};
// Faults drawn from the seed; at the end all is started, thawed and healed.
struct RandomFaults {
  Duration duration{};
};

// `version` empty: the latest that any operator was told of.
struct InForce {
  std::optional<std::uint64_t> version;
  // Empty: everywhere.
  std::string node;
};
struct HasLeader {
  // Empty: any.
  std::string node;
  // Whether exactly one replica takes itself for the leader.
  bool only = false;
  bool none = false;
};
enum class RequestOutcome { kAnswered, kNotRun, kUnknown, kNone };
struct HasOutcome {
  std::string id;
  RequestOutcome outcome = RequestOutcome::kAnswered;
};
enum class Runs { kOnce, kNever, kAtMostOnce };
struct Ran {
  std::string id;
  Runs runs = Runs::kOnce;
};
struct Offered {
  std::string target;
  // By each live entry, or by none.
  bool offered = true;
};
enum class OrderOutcome { kAccepted, kRefused, kUnanswered };
struct OrderEnded {
  // Empty: the operator who spoke last.
  std::string operator_name;
  OrderOutcome outcome = OrderOutcome::kAccepted;
  std::optional<std::uint64_t> version;
};
struct HasVoter {
  std::string node;
  bool votes = true;
};

using Condition = std::
    variant<InForce, HasLeader, HasOutcome, Ran, Offered, OrderEnded, HasVoter>;

struct Expect {
  Condition condition;
  // How long it may take; 0: it holds now.
  Duration within{};
};

using Statement = std::variant<Deployment,
                               Order,
                               NameLeader,
                               FaultNode,
                               Cut,
                               Heal,
                               SetDelay,
                               SetDuplication,
                               SetLoss,
                               SendRequest,
                               ResendRequest,
                               Load,
                               Wait,
                               RandomFaults,
                               Expect>;

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_STATEMENT_H_
