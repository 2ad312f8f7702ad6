// GroupTask: whether the map is changed, and to what.

#include <algorithm>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control_node/group_task.h"

namespace bilberryspool::control_node {

using groups::SwitchPhase;
using net::SteadyNow;

namespace {

// Below this many counts the shares of rare experts are noise.
constexpr double kLeastWeight = 10'000.0;
// How much a change must shorten the layers, and down to which imbalance a
// layer is worth copies. While engines have room a longer step makes nobody
// late, so only what is far off is mended: copies are dear.
struct Ambition {
  double min_gain;
  double target_imbalance;
};
constexpr Ambition kBusyAmbition{0.12, 1.08};
constexpr Ambition kCalmAmbition{0.2, 1.25};
// Requests at a rank, on the mean, as a share of its slots.
constexpr double kBusyShare = 0.6;
// A rank is not taken for faster than a healthy one.
constexpr double kLeastPace = 1.0;
// A plan is made in slices of this, and others have their turn in between.
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
  const Ambition& ambition = is_busy ? kBusyAmbition : kCalmAmbition;
  options.target_imbalance = ambition.target_imbalance;
  options.min_gain = ambition.min_gain;
  options.speeds.assign(ranks_, 1.0);
  for (const auto& [rank, pace] : paces_) {
    options.speeds[rank.value()] = 1.0 / std::max(pace, kLeastPace);
  }
  options.yield_callback = PauseBetweenMoves();
  return options;
}

// A plan for a large group takes a few hundred ms of 0.15 of a core. Answers
// that wait for it are taken for lost, and so are the ranks and nodes that gave
// them; so others have their turn in between.
std::function<void()> GroupTask::PauseBetweenMoves() {
  return [this, begun = SteadyNow()]() mutable {
    if (SteadyNow() - begun < kPlanSlice) {
      return;
    }
    loop_.SleepFor(kPlanPause);
    begun = SteadyNow();
  };
}

void GroupTask::Plan() {
  const auto map = switch_.map();
  if (loads_.weight() < kLeastWeight || map == nullptr) {
    return;
  }
  const TimePoint begun = SteadyNow();
  const placement::ExpertLoads loads = loads_.loads();
  const placement::BoundedPlanOptions options = PlanOptions();
  placement::ChangeCosts costs;
  costs.copy_time = engine_.expert_copy;
  const placement::BoundedPlan plan =
      placement::PlanMinTimeLoss(*map, loads, options, costs);
  const double gain = 1.0 - plan.imbalance_after / plan.imbalance_before;
  const TimePoint now = SteadyNow();
  last_plan_ = now - begun;
  // The group may have formed anew while the plan was made.
  const bool still_fits =
      switch_.phase() == SwitchPhase::kIdle && switch_.map() == map;
  if (gain < options.min_gain || !still_fits) {
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
