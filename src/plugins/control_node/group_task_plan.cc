// GroupTask: decides whether and how to change the map.

#include <algorithm>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control_node/group_task.h"

namespace bilberryspool::control_node {

using groups::SwitchPhase;
using net::SteadyNow;

namespace {

// Below this number of counts the shares of rare experts are noise.
constexpr double kMinWeight = 10'000.0;
// By how much a change must shorten the layers, and above which imbalance a
// layer gets additional copies. While engines have free slots, a longer step
// delays no request, so only a large imbalance is corrected: copies are
// expensive.
struct ChangeThresholds {
  double min_gain;
  double target_imbalance;
};
constexpr ChangeThresholds kBusyThresholds{0.12, 1.08};
constexpr ChangeThresholds kIdleThresholds{0.2, 1.25};
// Mean number of requests per rank, as a share of its slots, above which a
// group is busy.
constexpr double kBusyShare = 0.6;
// No rank is considered faster than a healthy one.
constexpr double kMinPace = 1.0;
// A plan is computed in slices of this length, so that other fibers can run in
// between.
constexpr Duration kPlanSlice = Milliseconds(15);
constexpr Duration kPlanPause = Milliseconds(1);

}  // namespace

placement::BoundedPlanOptions GroupTask::PlanOptions() {
  placement::BoundedPlanOptions options;
  options.ranks = ranks_;
  options.slots_per_layer = engine_.expert_places;
  options.new_experts = engine_.new_experts;
  double requests = 0.0;
  for (const auto& [rank, load] : loads_at_) {
    requests += load.running + load.waiting;
  }
  const bool is_busy = requests > kBusyShare * engine_.slots * ranks_;
  const ChangeThresholds& thresholds =
      is_busy ? kBusyThresholds : kIdleThresholds;
  options.target_imbalance = thresholds.target_imbalance;
  options.min_gain = thresholds.min_gain;
  options.speeds.assign(ranks_, 1.0);
  for (const auto& [rank, pace] : paces_) {
    options.speeds[rank.value()] = 1.0 / std::max(pace, kMinPace);
  }
  options.yield_callback = PauseBetweenMoves();
  return options;
}

// A plan for a large group takes a few hundred milliseconds on 0.15 of a core.
// Answers that are not processed meanwhile count as lost, and so do the ranks
// and nodes that sent them; planning therefore yields to other fibers.
std::function<void()> GroupTask::PauseBetweenMoves() {
  return [this, begun = SteadyNow()]() mutable {
    if (SteadyNow() - begun < kPlanSlice) {
      return;
    }
    const TimePoint paused = SteadyNow();
    loop_.SleepFor(kPlanPause);
    begun = SteadyNow();
    planning_since_log_ -= begun - paused;
  };
}

void GroupTask::Plan() {
  const auto map = switch_.map();
  if (loads_.weight() < kMinWeight || map == nullptr) {
    return;
  }
  const TimePoint begun = SteadyNow();
  const placement::ExpertLoads loads = loads_.loads();
  const placement::BoundedPlanOptions options = PlanOptions();
  if (!plan_gate_.IsWorthPlanning(
          map, placement::MeanImbalanceOf(*map, loads, options),
          options.min_gain)) {
    return;
  }
  placement::ChangeCosts costs;
  costs.copy_time = engine_.expert_copy;
  const placement::BoundedPlan plan =
      placement::PlanMinTimeLoss(*map, loads, options, costs);
  const double gain = 1.0 - plan.imbalance_after / plan.imbalance_before;
  const TimePoint now = SteadyNow();
  last_plan_duration_ = now - begun;
  planning_since_log_ += now - begun;
  ++plans_since_log_;
  // The group may have formed again while the plan was computed.
  const bool still_fits =
      switch_.phase() == SwitchPhase::kIdle && switch_.map() == map;
  if (!still_fits) {
    return;
  }
  if (gain < options.min_gain) {
    plan_gate_.OnRejected(map, plan.imbalance_before, options.min_gain);
    return;
  }
  constexpr double kPercent = 100.0;
  log_.Info(
      "Changing the map.",
      {{"group", group_.value()},
       {"imbalance_percent",
        static_cast<int>(plan.imbalance_before * kPercent)},
       {"planned_percent", static_cast<int>(plan.imbalance_after * kPercent)},
       {"fetches", plan.fetches},
       {"most_fetches", plan.max_rank_fetches},
       {"counts", static_cast<std::uint64_t>(loads_.weight())},
       {"planned_in_ms", (now - begun) / Milliseconds(1)}});
  switch_.Begin(std::make_shared<const placement::ExpertMap>(plan.map),
                engine_.expert_copy * plan.max_rank_fetches, now);
  SendDue(now);
}

}  // namespace bilberryspool::control_node
