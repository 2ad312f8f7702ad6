// Keeps the expert maps of self-stepping groups close to the current demand.
//
// Only the leading control node acts. It learns the ranks from the targets'
// announcements, reads which experts their requests pick, and switches the
// groups to better maps with groups::StepSwitch.

#ifndef PLUGINS_CONTROL_NODE_GROUP_MANAGER_H_
#define PLUGINS_CONTROL_NODE_GROUP_MANAGER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/links/link_client.h"
#include "libs/net/http_client.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/traffic_configuration.h"
#include "plugins/control_node/control_node.h"
#include "plugins/control_node/group_task.h"
#include "plugins/control_node/leadership_term.h"
#include "plugins/control_node/peer_contacts.h"
#include "plugins/sidecar/engine_protocol.h"
#include "plugins/sidecar/engine_relay.h"

namespace bilberryspool::control_node {

class GroupManager {
 public:
  GroupManager(net::NetworkLoop& loop,
               links::LinkClient& client,
               ControlNode& node,
               const FailureDomain& domain,
               std::uint16_t sidecar_port,
               sidecar::EngineProtocol protocol,
               traffic::ConfigurationReader read_configuration);

  void Start();
  // Serves requests of the leading control node: to poll ranks, to multicast an
  // order, or to relay an order to an engine.
  void Serve(net::HttpExchange& exchange);
  // Statistics of the groups that this node manages; empty unless it leads.
  std::map<GroupId, GroupStats> stats(TimePoint now) const;

 private:
  // What this node has read of another node's targets.
  struct PeerState {
    std::uint64_t boot = 0;
    std::uint64_t revision = 0;
    std::uint64_t quarantine_revision = 0;
  };

  // Responds with 404 for an engine that this node does not know.
  void Relay(net::HttpExchange& exchange);
  void Run();
  bool HasIncompleteGroup() const;
  // Erases retired tasks whose last call has returned.
  void EraseFinishedTasks();
  void CollectRanks();
  void UpdateTask(const traffic::TargetAnnouncement& announcement);
  // Targets announce themselves to any control node, and the next leader needs
  // all of them immediately, so each node reads the targets of the others.
  // `interval` is that of the nodes that respond.
  void PollPeers(Duration interval);
  // Returns whether the node responded.
  bool PollPeer(const net::Endpoint& peer);
  const traffic::EngineModel* EngineOf(const ServiceId& service);
  // Loads of the groups between which gateways choose, or whose room they share
  // among requests of different urgency.
  std::vector<group_loads::GroupLoad> CollectLoads(TimePoint now) const;
  bool KnowsEngine(const net::Endpoint& engine) const;

  net::NetworkLoop& loop_;
  links::LinkClient& links_;
  EngineCalls calls_;
  RankPoller poller_;
  OrderMulticaster multicaster_;
  sidecar::EngineRelay relay_;
  ControlNode& node_;
  sidecar::EngineProtocol protocol_;
  traffic::ConfigurationReader read_configuration_;
  telemetry::Logger log_;
  // Tasks of the current term; they are created anew in each term.
  std::map<GroupId, std::unique_ptr<GroupTask>> tasks_;
  // Tasks of earlier terms whose fibers may still run.
  std::vector<std::unique_ptr<GroupTask>> retired_tasks_;
  PeerContacts peers_;
  // The other control nodes that responded at the last tick.
  std::vector<net::Endpoint> helpers_;
  std::map<net::Endpoint, PeerState> peer_states_;
  // Nodes that other nodes reported, to be polled once.
  std::set<net::Endpoint> reported_nodes_;
  LeadershipTerm leadership_term_;
  std::uint64_t read_version_ = 0;
  std::map<ServiceId, traffic::Service> services_;
  std::map<ServiceId, traffic::ServiceDemands> demands_;
  // The service of each task.
  std::map<GroupId, ServiceId> served_;
  Term term_;
  TimePoint collect_due_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_GROUP_MANAGER_H_
