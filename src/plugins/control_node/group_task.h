// One self-stepping group: its reports, counts, plans and orders.

#ifndef PLUGINS_CONTROL_NODE_GROUP_TASK_H_
#define PLUGINS_CONTROL_NODE_GROUP_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libs/groups/step_switch.h"
#include "libs/net/endpoint.h"
#include "libs/net/network_loop.h"
#include "libs/placement/recent_loads.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/traffic_configuration.h"
#include "plugins/control_node/engine_calls.h"
#include "plugins/control_node/engine_protocol.h"
#include "plugins/control_node/order_helpers.h"

namespace bilberryspool::control_node {

// Runs in the control loop, while its node leads.
class GroupTask {
 public:
  GroupTask(net::NetworkLoop& loop,
            EngineCalls& calls,
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
  // Other control nodes that answer.
  void SetHelpers(std::vector<net::Endpoint> helpers) {
    helpers_.Set(std::move(helpers));
  }
  // To be called often; starts what is due.
  void Tick();
  std::uint32_t ranks() const { return ranks_; }
  // Whether calls are still on their way; a task must outlive them.
  bool is_calling() const { return calling_ > 0; }
  // Above every version that this task has given a map.
  MapVersion unused_version() const { return switch_.unused_version(); }
  // Adds the ranks that are too slow to be given requests, by address, with how
  // many times as long as a healthy one they take, and those that do not answer
  // (kMissingPace).
  void AddSlow(std::map<std::string, double>& by_address) const;

 private:
  // From how many ranks picks are read at a time. Requests differ in what they
  // ask for, and a rank has about seven: of three ranks of 16 the counts showed
  // an imbalance of 1.6 to 2.0 right after each change that was planned to
  // leave 1.25, for seconds, and maps were changed for nothing. Of all 16 ranks
  // in place of 3 the mean worth of 15 days with trouble is 0.487 in place of
  // 0.442, with half of the copies; of 16 ranks of 72 it is 0.50 in place of
  // 0.45 (five days, together with slow ranks left out).
  static constexpr std::uint32_t kSampledRanks = 16;

  static placement::RecentLoadsOptions LoadOptions(
      const traffic::EngineModel& engine,
      std::uint32_t ranks);
  // group_task.cc
  void Spawn(std::function<void()> body);
  void Pump();
  void SendDue(TimePoint now);
  Duration busy_interval() const;
  Duration idle_interval() const;
  // group_task_readings.cc
  void AskReports();
  void AskReport(RankIndex rank, const net::Endpoint& endpoint);
  void AskPicks();
  void ReadMap();
  // The map in use, as the ranks tell of it one by one.
  struct MapReading {
    std::shared_ptr<placement::ExpertMap> map;
    MapVersion version;
    std::size_t missing = 0;
    bool is_whole = true;
  };
  void AddExperts(placement::ExpertMap& map,
                  RankIndex rank,
                  const std::vector<std::vector<ExpertIndex>>& experts) const;
  void EndReading(const MapReading& reading);
  // group_task.cc
  void NoteLateness(TimePoint now);
  void NoteState(TimePoint now);
  void Plan(TimePoint now);
  void SendOrder(const groups::RankOrder& order);
  EngineCalls::Answer AskForHold(const net::Endpoint& engine,
                                 const net::HttpRequest& request);
  EngineCalls::Patience PatienceFor(const groups::EngineOrder& order) const;
  void NotePhase();

  net::NetworkLoop& loop_;
  EngineCalls& calls_;
  const EngineProtocol& protocol_;
  std::function<bool()> may_act_;
  GroupId group_;
  traffic::EngineModel engine_;
  std::uint32_t ranks_;
  telemetry::Logger log_;
  std::map<RankIndex, net::Endpoint> addresses_;
  groups::StepSwitch switch_;
  placement::RecentLoads loads_;
  // How many times as long as a healthy rank each one takes.
  std::map<RankIndex, double> paces_;
  std::map<RankIndex, TimePoint> heard_at_;
  struct RankLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };
  std::map<RankIndex, RankLoad> loads_at_;
  groups::StepNumber newest_step_;
  // When the state was logged last, and the step of that time.
  TimePoint state_at_;
  std::uint64_t state_step_ = 0;
  groups::SwitchPhase last_phase_ = groups::SwitchPhase::kObserving;
  TimePoint reports_due_;
  TimePoint picks_due_;
  TimePoint plan_due_;
  TimePoint phase_since_;
  TimePoint ticked_at_;
  // No change is begun before.
  TimePoint calm_from_;
  OrderHelpers helpers_;
  bool is_reading_map_ = false;
  std::uint32_t calling_ = 0;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_GROUP_TASK_H_
