// Entries and agents on a fake network, with all invariants asserted.
//
// Each node holds the same pure machines as the program; only links, clocks,
// disks, engines and callers are fakes. It guards against faults of the joints
// between the machines, which the tests of each machine alone can't show.

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

// What became of an operator's order; none while it is open.
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

  // Runs until `end`, or until something that must hold doesn't, or `done`.
  bool RunUntil(TimePoint end, const std::function<bool()>& done);

  std::vector<NodeId> entries() const;
  std::vector<NodeId> nodes() const;
  // Nodes of that name or failure domain.
  std::vector<NodeId> Resolve(const std::string& name) const;
  bool runs(const NodeId& node) const {
    return network_.alive(node) && !network_.frozen(node);
  }

  void Kill(const NodeId& node);
  void Restart(const NodeId& node);
  void LoseDisk(const NodeId& node);
  void Freeze(const NodeId& node);
  void BeginPlannedStop(const NodeId& node);

  // The first unused number becomes part of the command's id where the
  // operator named none.
  void SubmitOrder(const std::string& operator_name,
                   const NodeId& entry,
                   const std::string& text);
  void Send(CallerRequest request, const NodeId& entry);

  // What is only judged once the script is over.
  void CheckAtEnd() { request_registry_.CheckDeadlines(network_.now()); }

  // The replicas that may act as the leader now.
  std::vector<NodeId> leaders() const;
  bool IsInForce(const NodeId& node, ConfigVersion version) const;
  // Whether the entry lets new work go to the target.
  bool Offers(const NodeId& entry, const TargetId& target) const;
  // Whether a leader counts the node among its voters.
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
