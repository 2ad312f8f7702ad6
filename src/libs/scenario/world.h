// Entries and agents on a simulated network, with all invariants checked.
//
// Each node runs the same state machines as the program; only links, clocks,
// disks, engines and callers are simulated. This finds faults in the
// interaction of the state machines, which their unit tests can't show.

#ifndef LIBS_SCENARIO_WORLD_H_
#define LIBS_SCENARIO_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/config/command.h"
#include "libs/scenario/agent_node.h"
#include "libs/scenario/entry_node.h"
#include "libs/scenario/statement.h"

namespace bilberryspool::scenario {

// The state of an operator's order. The outcome is nullopt while the order is
// open, and also if it ended without a known outcome.
struct OrderState {
  std::string operator_name;
  bool ended = false;
  std::optional<config::Outcome> outcome;
};

class World {
 public:
  World(const Deployment& deployment,
        std::uint64_t seed,
        Verdict::Listener listener);

  FakeNetwork& network() { return network_; }
  Verdict& verdict() { return verdict_; }
  const ConfigChecks& checks() const { return checks_; }
  const RequestRegistry& request_registry() const { return request_registry_; }
  const std::vector<OrderState>& orders() const { return orders_; }

  // Runs until `end`, until a check fails or until `done` returns true. Returns
  // whether `done` was reached; false if a check failed.
  bool RunUntil(TimePoint end, const std::function<bool()>& done);

  std::vector<NodeId> entries() const;
  std::vector<NodeId> nodes() const;
  // The nodes with that name or in that failure domain.
  std::vector<NodeId> Resolve(const std::string& name) const;
  bool runs(const NodeId& node) const {
    return network_.alive(node) && !network_.frozen(node);
  }

  void Kill(const NodeId& node);
  void Restart(const NodeId& node);
  void LoseDisk(const NodeId& node);
  void Freeze(const NodeId& node);
  void BeginPlannedStop(const NodeId& node);

  // Submits a change through the entry. If the text names no command id, one is
  // made of the operator's name and the number of the order.
  void SubmitOrder(const std::string& operator_name,
                   const NodeId& entry,
                   const std::string& text);
  void Send(CallerRequest request, const NodeId& entry);

  // Checks that can only be made at the end of the script.
  void CheckAtEnd() { request_registry_.CheckDeadlines(network_.now()); }

  // The replicas that act as the leader now.
  std::vector<NodeId> leaders() const;
  bool IsInForce(const NodeId& node, ConfigVersion version) const;
  // Whether the entry routes new work to the target.
  bool Offers(const NodeId& entry, const TargetId& target) const;
  // Whether the node is a voter in the leader's membership.
  bool IsVoter(const NodeId& node) const;

 private:
  struct EntrySlot {
    FailureDomain domain;
    std::unique_ptr<Disk> disk;
    std::unique_ptr<EntryNode> node;
  };
  struct AgentSlot {
    AgentNode::Settings settings;
    std::unique_ptr<AgentNode> node;
  };

  void Deliver(const NodeId& from, const NodeId& to, const Frame& frame);
  void MakeEntries(const Deployment& deployment);
  void MakeAgents(const Deployment& deployment);
  void EmptyDisk(const NodeId& node, Disk& disk);
  void OrderDone(OrderId order, const std::optional<config::Outcome>& outcome);

  FakeNetwork network_;
  Verdict verdict_;
  ConfigChecks checks_;
  RequestRegistry request_registry_;
  EntrySettings settings_;
  std::map<NodeId, EntrySlot> entries_;
  std::map<NodeId, AgentSlot> agents_;
  std::vector<OrderState> orders_;
  std::vector<config::Command> commands_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_WORLD_H_
