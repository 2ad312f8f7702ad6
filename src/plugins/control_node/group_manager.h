// Keeps the expert maps of self-stepping groups near what is in demand.
//
// Only the leading control node acts. It learns of the ranks from the targets'
// announcements, reads what a few of them pick, and brings better maps about
// by groups::StepSwitch.

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
  // What the control node that leads asks of this one: to read ranks, or to
  // pass an order on to engines.
  void Serve(net::HttpExchange& exchange);
  // Of the groups that this node looks after; none where it does not lead.
  std::map<GroupId, GroupStats> stats(TimePoint now) const;

 private:
  // What this node has read of another's targets.
  struct PeerState {
    std::uint64_t boot = 0;
    std::uint64_t revision = 0;
    TimePoint heard_at;
    std::uint64_t quarantine_revision = 0;
  };

  // 404 for an engine that this node does not know.
  void Relay(net::HttpExchange& exchange);
  void Run();
  bool HasIncompleteGroup() const;
  // Ended tasks whose last call has returned.
  void EraseFinishedTasks();
  void CollectRanks();
  void UpdateTask(const traffic::TargetAnnouncement& announcement);
  // Targets announce themselves to any control node, and whichever leads next
  // needs all of them at once; so each node reads what the others know.
  void PollPeers();
  void PollPeer(const net::Endpoint& peer);
  const traffic::EngineModel* EngineOf(const ServiceId& service);
  bool KnowsEngine(const net::Endpoint& engine) const;
  // Other control nodes that have answered lately.
  std::vector<net::Endpoint> Helpers() const;

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
  // Of this term; a new leadership starts with new ones.
  std::map<GroupId, std::unique_ptr<GroupTask>> tasks_;
  // Their fibers may still run.
  std::vector<std::unique_ptr<GroupTask>> retired_tasks_;
  traffic::TargetBook peer_targets_;
  std::map<net::Endpoint, PeerState> peer_states_;
  // Nodes that others have told of, to be asked once.
  std::set<net::Endpoint> reported_nodes_;
  LeadershipTerm leadership_term_;
  std::uint64_t read_version_ = 0;
  std::map<ServiceId, traffic::Service> services_;
  Term term_;
  TimePoint collect_due_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_GROUP_MANAGER_H_
