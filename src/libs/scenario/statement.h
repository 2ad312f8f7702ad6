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

// The nodes of the scenario; always the first statement.
struct Deployment {
  std::uint32_t entries = 3;
  std::vector<std::string> domains{"sahab", "marka", "abdali"};
  // Number of control replicas; the first entries bootstrap the control group.
  std::uint32_t control = 3;
  // Number of further entries, after the control replicas, that have an empty
  // data folder and can replace a control replica.
  std::uint32_t spares = 0;
  std::uint32_t agents = 0;
  // The services that each target serves.
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

// Assigns a name to the current leader.
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
  // Begins the planned stop of a target.
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

// Maximum delay of all links from now on.
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
// Sends requests through all entries in turn, concurrently with the statements
// that follow.
struct Load {
  std::uint32_t per_second = 0;
  Duration duration{};
  std::string service = "drafter";
  bool idempotent = true;
};

struct Wait {
  Duration duration{};
};
// Random faults, see random_faults.h; at the end all nodes are started and
// thawed and all links healed.
struct RandomFaults {
  Duration duration{};
};

// The version or a later one is in force.
struct InForce {
  // Empty: the latest version that was reported to an operator.
  std::optional<std::uint64_t> version;
  // Empty: on all nodes that run.
  std::string node;
};
struct HasLeader {
  // Empty: any node.
  std::string node;
  // Exactly one replica acts as the leader.
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
  // Whether all running entries route new work to the target, or none does.
  bool offered = true;
};
enum class OrderOutcome { kAccepted, kRefused, kUnanswered };
struct OrderEnded {
  // Empty: the operator of the latest order.
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
  // Maximum time until the condition is met; 0: it must be met now.
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
