// Manages one self-stepping group: its reports, counts, plans and orders.

#ifndef PLUGINS_CONTROL_NODE_GROUP_TASK_H_
#define PLUGINS_CONTROL_NODE_GROUP_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/group_loads/group_load.h"
#include "libs/group_loads/room_estimator.h"
#include "libs/groups/rank_round.h"
#include "libs/groups/silent_ranks.h"
#include "libs/groups/step_switch.h"
#include "libs/net/endpoint.h"
#include "libs/net/network_loop.h"
#include "libs/placement/bounded_plan.h"
#include "libs/placement/recent_loads.h"
#include "libs/telemetry/log.h"
#include "libs/traffic/traffic_configuration.h"
#include "plugins/control_node/engine_calls.h"
#include "plugins/control_node/order_helpers.h"
#include "plugins/control_node/order_multicaster.h"
#include "plugins/control_node/plan_gate.h"
#include "plugins/control_node/polling_schedule.h"
#include "plugins/control_node/rank_poller.h"
#include "plugins/sidecar/engine_protocol.h"

namespace bilberryspool::control_node {

// Statistics of what the leader knows of a group's ranks, and of how old that
// is.
struct GroupStats {
  std::size_t known_ranks = 0;  // ranks that responded at least once
  std::size_t missing = 0;      // ranks that do not respond now
  Duration oldest_sum_age{};    // time since the oldest sum of a reader arrived
  Duration last_plan_duration{};  // time that the last plan took
  Duration time_since_tick{};     // due every 25 ms
};

// Runs in the control loop, while its node leads.
class GroupTask {
 public:
  GroupTask(net::NetworkLoop& loop,
            EngineCalls& calls,
            RankPoller& poller,
            OrderMulticaster& multicaster,
            const sidecar::EngineProtocol& protocol,
            GroupId group,
            const traffic::EngineModel& engine,
            std::uint32_t ranks,
            Term term,
            MapVersion first_version);

  void SetAddress(RankIndex rank,
                  const net::Endpoint& endpoint,
                  const FailureDomain& domain);
  bool has_all_ranks() const { return addresses_.size() == ranks_; }
  // Checked again before each order is sent.
  void SetMayAct(std::function<bool()> may_act) {
    may_act_ = std::move(may_act);
  }
  // Whether passes are followed, which LoadOf() needs.
  void SetTracksPasses(bool tracks_passes) { tracks_passes_ = tracks_passes; }
  // Sets the other control nodes that respond.
  void SetHelpers(std::vector<net::Endpoint> helpers) {
    schedule_.SetReaders(helpers);
    helpers_.Set(std::move(helpers));
  }
  // Starts what is due. Must be called frequently.
  void Tick();
  // Sets how many groups this node manages.
  void SetGroups(std::size_t groups) { schedule_.SetGroups(groups); }
  std::uint32_t ranks() const { return ranks_; }
  // Whether calls are in flight; the task must outlive them.
  bool has_pending_calls() const { return pending_calls_ > 0; }
  // Greater than every version that this task has assigned to a map.
  MapVersion unused_version() const { return switch_.unused_version(); }
  // Adds the ranks that are too slow to be sent requests, by address, with the
  // time that they take as a multiple of a healthy rank's, and the ranks that
  // do not respond (kUnresponsivePace).
  void AddSlowTargets(std::map<std::string, double>& by_address) const;
  // The present load, for gateways. `service` is the one that the group serves,
  // `max_gap` the longest pause between events that its callers accept.
  group_loads::GroupLoad LoadOf(const ServiceId& service,
                                Duration max_gap,
                                TimePoint now) const;
  // Statistics for metrics.
  GroupStats stats(TimePoint now) const;

 private:
  // Maximum number of ranks that the leader calls at once by itself; more are
  // called through the nodes that read them.
  static constexpr std::size_t kMaxDirectCalls = 24;
  static placement::RecentLoadsOptions LoadOptions(
      const traffic::EngineModel& engine);
  static group_loads::RoomEstimatorOptions RoomOptions(
      const traffic::EngineModel& engine,
      std::uint32_t ranks);
  // Follows the passes of the group and whether it is open.
  void TrackPasses(const groups::EngineReport& report);
  // group_task.cc
  void Spawn(std::function<void()> body);
  void Advance();
  void SendDue(TimePoint now);
  // group_task_readings.cc
  void StartRounds(TimePoint now);
  void PollRanks(const PollingRound& round);
  std::optional<groups::RoundResponse> RequestAnswer(
      const PollingRound& round,
      const groups::RoundRequest& question);
  double read_work() const;
  void RecordSum(const PollingRound& round,
                 const groups::RoundResponse& answer);
  void RecordSilentRanks(const PollingRound& round,
                         const groups::RoundResponse& answer);
  void PollSilentRanks(TimePoint now);
  void RequestReport(RankIndex rank, const net::Endpoint& endpoint);
  void ApplyReport(RankIndex rank,
                   const groups::EngineReport& report,
                   TimePoint as_of,
                   TimePoint responded_at);
  void ReadMap();
  // The map in use, as assembled from the experts of each rank.
  struct MapReading {
    std::shared_ptr<placement::ExpertMap> map;
    MapVersion version;
    std::size_t missing = 0;
    bool is_complete = true;
  };
  void AddExperts(placement::ExpertMap& map,
                  RankIndex rank,
                  const std::vector<std::vector<ExpertIndex>>& experts) const;
  void FinishMapReading(const MapReading& reading);
  // group_task.cc
  void UpdatePhase();
  void DetectLateTick(TimePoint now);
  void LogState(TimePoint now);
  Duration OldestSumAge(TimePoint now) const;
  // group_task_plan.cc
  void Plan();
  placement::BoundedPlanOptions PlanOptions();
  std::function<void()> PauseBetweenMoves();
  // group_task_orders.cc
  void SendOrder(const groups::RankOrder& order);
  // Sends an order that is the same for many ranks, or that is guarded, through
  // the nodes that read the ranks; returns the remaining orders.
  std::vector<groups::RankOrder> SendMulticast(
      std::vector<groups::RankOrder> orders,
      TimePoint now);
  groups::MulticastOrder MulticastOrderOf(const groups::RankOrder& order) const;
  void SendMulticastPart(const PollingRound& part,
                         const groups::RankOrder& order,
                         groups::MulticastOrder multicast);
  void SendToSilent(const net::Endpoint& reader,
                    const groups::MulticastOrder& multicast,
                    groups::MulticastResult& result);
  std::optional<groups::MulticastResult> RequestAnswer(
      const PollingRound& part,
      const groups::MulticastOrder& multicast);
  groups::OrderAnswer ReadAnswer(int status) const;
  void OnAnswer(const groups::RankOrder& order, int status);
  // Records the answers of the ranks of `part`; nothing: none has answered.
  void OnAnswers(const PollingRound& part,
                 const groups::RankOrder& order,
                 const std::optional<groups::MulticastResult>& result);
  // These return the status of the engine's answer; 0: there is none.
  int Send(const groups::EngineOrder& order,
           const net::Endpoint& engine,
           const net::HttpRequest& request);
  int SendHoldOrder(const net::Endpoint& engine,
                    const net::HttpRequest& request);
  int SendRelease(const net::Endpoint& engine, const net::HttpRequest& request);
  EngineCalls::CallTimeouts TimeoutFor(const groups::EngineOrder& order) const;

  net::NetworkLoop& loop_;
  EngineCalls& calls_;
  RankPoller& poller_;
  OrderMulticaster& multicaster_;
  const sidecar::EngineProtocol& protocol_;
  std::function<bool()> may_act_;
  GroupId group_;
  traffic::EngineModel engine_;
  std::uint32_t ranks_;
  telemetry::Logger log_;
  std::map<RankIndex, net::Endpoint> addresses_;
  groups::StepSwitch switch_;
  placement::RecentLoads loads_;
  // The time that each rank takes, as a multiple of a healthy rank's.
  std::map<RankIndex, double> paces_;
  groups::SilentRanks silence_;
  // When the ranks without a reader's report were last polled by the leader.
  std::map<RankIndex, TimePoint> polled_at_;
  PollingSchedule schedule_;
  // The last answer of each reader.
  struct Sum {
    placement::ReadingMark mark;
    TimePoint at;  // last time that it contained work
  };
  std::map<std::optional<net::Endpoint>, Sum> last_sums_;
  // Number of sums with work in them since the state was last logged.
  std::uint32_t sums_since_log_ = 0;
  struct RankLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };
  std::map<RankIndex, RankLoad> loads_at_;
  bool tracks_passes_ = false;
  group_loads::RoomEstimator room_;
  // The newest epoch that a rank reported, its last pass, and whether the group
  // is open in it.
  groups::GroupEpoch newest_epoch_;
  groups::StepNumber newest_pass_;
  bool is_open_ = true;
  groups::StepNumber newest_step_;
  // When the state was last logged, and the step at that time.
  TimePoint state_logged_at_;
  std::uint64_t state_logged_step_ = 0;
  groups::SwitchPhase last_phase_ = groups::SwitchPhase::kObserving;
  TimePoint plan_due_;
  TimePoint phase_since_;
  TimePoint ticked_at_;
  // No change of the map is started before this time.
  TimePoint changes_allowed_from_;
  OrderHelpers helpers_;
  bool is_reading_map_ = false;
  bool is_planning_ = false;
  PlanGate plan_gate_;
  Duration last_plan_duration_{};
  // Plans since the state was last logged, and the time that they took without
  // the pauses in between.
  std::uint32_t plans_since_log_ = 0;
  Duration planning_since_log_{};
  std::uint32_t pending_calls_ = 0;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_GROUP_TASK_H_
