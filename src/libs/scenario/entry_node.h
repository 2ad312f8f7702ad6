#ifndef LIBS_SCENARIO_ENTRY_NODE_H_
#define LIBS_SCENARIO_ENTRY_NODE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/membership/directory.h"
#include "libs/scenario/replica_host.h"
#include "libs/scenario/request_host.h"
#include "libs/scenario/spread_host.h"

namespace bilberryspool::scenario {

// Settings that all entries of a run share.
struct EntrySettings {
  // All entries, by name; also their addresses.
  std::vector<std::string> entries;
  // The control replicas that bootstrap the group.
  std::vector<NodeId> initial_members;
};

// One process of an entry.
class EntryNode {
 public:
  // Called with the outcome of an operator's order; nullopt where the outcome
  // is unknown or no leader was reached.
  using OrderDone =
      std::function<void(OrderId, const std::optional<config::Outcome>&)>;

  EntryNode(FakeNetwork& network,
            Verdict& verdict,
            ConfigChecks& checks,
            RequestRegistry& request_registry,
            const EntrySettings& settings,
            NodeId self,
            FailureDomain domain,
            Disk* disk,
            OrderDone order_done);

  void Start();
  void Receive(const NodeId& from, const Frame& frame);
  void Order(OrderId order, const config::Command& command);
  void Open(SendId send) { requests_.Open(send); }

  bool leads() const { return replica_.has_value() && replica_->leads(); }
  // Null where this entry has no replica.
  const consensus::Replica* replica() const {
    return replica_.has_value() ? &replica_->replica() : nullptr;
  }
  const config::Configuration& configuration() const {
    return spread_.configuration();
  }
  const RequestHost& requests() const { return requests_; }

 private:
  // An order that waits for the leader's answer.
  struct PendingOrder {
    config::Command command;
    TimePoint deadline;
    std::vector<NodeId> candidates;
    // Number of calls so far. Identifies the latest one, so that timers and
    // replies of earlier calls are ignored.
    std::size_t calls = 0;
  };

  void On(const NodeId& from, const consensus::Message& message);
  void On(const NodeId& from, const spread::DeltaMessage& message);
  void On(const NodeId& from, const spread::FullMessage& message);
  void On(const NodeId& from, const spread::HaveMessage& message);
  void On(const NodeId& from, const membership::PeerMessage& message);
  void On(const NodeId& from, const membership::Announcement& announcement);
  void On(const NodeId& from, const membership::Heartbeat& heartbeat);
  void On(const NodeId& from, const ProposeCall& call);
  void On(const NodeId& from, const ProposeReply& reply);
  // Frames of callers' requests go to `requests_`, all others are ignored.
  template <typename Other>
  void On(const NodeId& from, const Other& frame);

  void StartReplica();
  ReplicaHost::Hooks MakeReplicaHooks();
  void RunDirectory();
  void HandleDirectory(const membership::DirectoryEvent& event);
  std::vector<routing::TargetView> Targets() const;
  spread::TopologyChanged Topology() const;
  std::vector<NodeId> control_members() const;
  FailureDomain DomainOf(const NodeId& node) const;

  void SendOrder(OrderId order);
  void EndOrder(OrderId order, const std::optional<config::Outcome>& outcome);

  FakeNetwork& network_;
  Verdict& verdict_;
  ConfigChecks& checks_;
  EntrySettings settings_;
  NodeId self_;
  FailureDomain domain_;
  Disk* disk_;
  OrderDone order_done_;
  membership::Directory directory_;
  SpreadHost spread_;
  RequestHost requests_;
  std::optional<ReplicaHost> replica_;
  std::optional<NodeId> leader_hint_;
  std::map<OrderId, PendingOrder> orders_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_ENTRY_NODE_H_
