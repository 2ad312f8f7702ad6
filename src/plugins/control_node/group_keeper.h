// Keeps the expert maps of self-stepping groups near what is in demand.
//
// Only the leading control node acts. It learns of the ranks from the targets'
// announcements, reads what a few of them pick, and brings better maps about
// by groups::StepSwitch.

#ifndef PLUGINS_CONTROL_NODE_GROUP_KEEPER_H_
#define PLUGINS_CONTROL_NODE_GROUP_KEEPER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/groups/step_switch.h"
#include "libs/links/link_client.h"
#include "libs/net/http_client.h"
#include "libs/placement/recent_loads.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/traffic_configuration.h"
#include "plugins/control_node/control_node.h"
#include "plugins/control_node/engine_protocol.h"

namespace bilberryspool::control_node {

// One group. Runs in the control loop.
class GroupTask {
 public:
  // Sidecars listen on `sidecar_port` of each engine's VM.
  GroupTask(net::NetworkLoop& loop,
            net::HttpClient& client,
            links::LinkClient& links,
            std::uint16_t sidecar_port,
            const EngineProtocol& protocol,
            GroupId group,
            const traffic::EngineModel& engine,
            std::uint32_t ranks,
            MapVersion first_version);

  void SetAddress(RankIndex rank, const net::Endpoint& endpoint);
  bool has_all_ranks() const { return addresses_.size() == ranks_; }
  // Asked again before each order leaves.
  void SetMayAct(std::function<bool()> may_act) {
    may_act_ = std::move(may_act);
  }
  // To be called often; starts what is due.
  void Tick();
  std::uint32_t ranks() const { return ranks_; }
  // Adds the ranks that are slow, by address, with how many times as long as
  // a healthy one they take.
  void AddSlow(std::map<std::string, double>& by_address) const;

 private:
  // An answer of an engine, and how fresh it is.
  struct Answer {
    int status = 0;  // 0: none came
    std::string body;
    TimePoint as_of;
  };

  // By the sidecar, and where that fails directly.
  Answer Ask(const net::Endpoint& engine,
             const net::HttpRequest& request,
             Duration patience);
  void Pump();
  Duration busy_interval() const;
  void AskReports();
  void AskPicks();
  void ReadMap();
  void Plan(TimePoint now);
  void SendOrder(const groups::RankOrder& order);
  void NotePhase();

  net::NetworkLoop& loop_;
  net::HttpClient& client_;
  links::LinkClient& links_;
  std::uint16_t sidecar_port_;
  const EngineProtocol& protocol_;
  std::function<bool()> may_act_;
  // When a sidecar that failed is tried again, by its VM.
  std::map<std::string, TimePoint> sidecar_rests_;
  GroupId group_;
  traffic::EngineModel engine_;
  std::uint32_t ranks_;
  telemetry::Logger log_;
  std::map<RankIndex, net::Endpoint> addresses_;
  groups::StepSwitch switch_;
  placement::RecentLoads loads_;
  // How many times as long as a healthy rank each one takes.
  std::map<RankIndex, double> paces_;
  // Requests that run or wait there.
  std::map<RankIndex, std::uint32_t> loads_at_;
  groups::SwitchPhase last_phase_ = groups::SwitchPhase::kObserving;
  TimePoint reports_due_;
  TimePoint picks_due_;
  TimePoint plan_due_;
  TimePoint phase_since_;
  bool is_reading_map_ = false;
  std::uint32_t picks_round_ = 0;
};

class GroupKeeper {
 public:
  GroupKeeper(net::NetworkLoop& loop,
              links::LinkClient& client,
              ControlNode& node,
              std::uint16_t sidecar_port,
              EngineProtocol protocol,
              traffic::ConfigurationReader read_configuration);

  void Start();

 private:
  // What this node has read of another's targets.
  struct Mark {
    std::uint64_t boot = 0;
    std::uint64_t revision = 0;
  };

  void Run();
  void CollectRanks();
  void Tend(const traffic::TargetAnnouncement& told);
  // Targets announce themselves to any control node, and whichever leads next
  // needs all of them at once; so each node reads what the others know.
  void LearnFromMembers();
  void LearnFrom(const net::Endpoint& peer);
  const traffic::EngineModel* EngineOf(const ServiceId& service);

  net::NetworkLoop& loop_;
  links::LinkClient& links_;
  net::HttpClient client_;
  ControlNode& node_;
  std::uint16_t sidecar_port_;
  EngineProtocol protocol_;
  traffic::ConfigurationReader read_configuration_;
  telemetry::Logger log_;
  // Of this term; a new leadership starts with new ones.
  std::map<GroupId, std::unique_ptr<GroupTask>> tasks_;
  // Their fibers may still run.
  std::vector<std::unique_ptr<GroupTask>> ended_;
  traffic::TargetBook others_;
  std::map<net::Endpoint, Mark> marks_;
  // Nodes that others have told of, to be asked once.
  std::set<net::Endpoint> told_nodes_;
  bool was_leader_ = false;
  std::uint64_t read_version_ = 0;
  std::map<ServiceId, traffic::Service> services_;
  Term term_;
  TimePoint collect_due_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_GROUP_KEEPER_H_
