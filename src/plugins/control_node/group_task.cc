#include "plugins/control_node/group_task.h"

#include <algorithm>
#include <utility>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control_node {

using groups::SwitchPhase;
using net::SteadyNow;

namespace {

constexpr Duration kPlanInterval = Milliseconds(50);

std::string_view NameOf(SwitchPhase phase) {
  switch (phase) {
    case SwitchPhase::kObserving:
      return "observing";
    case SwitchPhase::kIdle:
      return "idle";
    case SwitchPhase::kPreparing:
      return "preparing";
    case SwitchPhase::kConfirming:
      return "confirming";
    case SwitchPhase::kHolding:
      return "holding";
    case SwitchPhase::kArming:
      return "arming";
    case SwitchPhase::kReleasing:
      return "releasing";
    case SwitchPhase::kSettling:
      return "settling";
    case SwitchPhase::kClearing:
      return "clearing";
  }
  return "unknown";
}

groups::StepSwitchOptions SwitchOptions(std::uint32_t ranks, Term term) {
  groups::StepSwitchOptions options;
  options.ranks = ranks;
  options.term = term;
  // Ranks confirm one after the other, in the order in which the orders reached
  // them; most have finished at the first poll.
  constexpr Duration kPollPerRank = Microseconds(500);
  options.copy_poll = kPollPerRank * ranks;
  return options;
}

}  // namespace

GroupTask::GroupTask(net::NetworkLoop& loop,
                     EngineCalls& calls,
                     RankPoller& poller,
                     OrderMulticaster& multicaster,
                     const sidecar::EngineProtocol& protocol,
                     GroupId group,
                     const traffic::EngineModel& engine,
                     std::uint32_t ranks,
                     Term term,
                     MapVersion first_version)
    : loop_(loop),
      calls_(calls),
      poller_(poller),
      multicaster_(multicaster),
      protocol_(protocol),
      group_(std::move(group)),
      engine_(engine),
      ranks_(ranks),
      log_("groups"),
      switch_(SwitchOptions(ranks, term), first_version, SteadyNow()),
      loads_(LoadOptions(engine)),
      room_(RoomOptions(engine, ranks)) {}

placement::RecentLoadsOptions GroupTask::LoadOptions(
    const traffic::EngineModel& engine) {
  placement::RecentLoadsOptions options;
  options.layers = engine.expert_layers;
  options.experts = engine.experts_per_layer;
  return options;
}

group_loads::RoomEstimatorOptions GroupTask::RoomOptions(
    const traffic::EngineModel& engine,
    std::uint32_t ranks) {
  group_loads::RoomEstimatorOptions options;
  options.slots = engine.slots * ranks;
  options.fixed = engine.step * engine.tokens_per_event;
  options.per_request =
      engine.step_per_request * engine.tokens_per_event / std::max(ranks, 1U);
  return options;
}

group_loads::GroupLoad GroupTask::LoadOf(const ServiceId& service,
                                         Duration max_gap,
                                         TimePoint now) const {
  group_loads::GroupLoad load;
  load.group = group_;
  load.service = service;
  load.is_open = is_open_;
  load.room = room_.Room(max_gap, now);
  load.by_rank.assign(ranks_, 0);
  for (const auto& [rank, requests] : loads_at_) {
    load.by_rank[rank.value()] = requests.running + requests.waiting;
  }
  return load;
}

void GroupTask::SetAddress(RankIndex rank,
                           const net::Endpoint& endpoint,
                           const FailureDomain& domain) {
  if (rank.value() < ranks_) {
    addresses_[rank] = endpoint;
    schedule_.SetRank(rank, domain);
  }
}

void GroupTask::Tick() {
  if (!has_all_ranks()) {
    return;
  }
  const TimePoint now = SteadyNow();
  DetectLateTick(now);
  silence_.Tick(now);
  LogState(now);
  StartRounds(now);
  PollSilentRanks(now);
  Advance();
  ReadMap();
}

// Postpones changes of the map after a late tick. A node that lacks processor
// time may lose its leadership in the middle of a change, and the group is then
// stalled until another node has taken over.
void GroupTask::DetectLateTick(TimePoint now) {
  // A plan for a large group alone takes 0.1 s; followers start an election
  // after 0.5 s without a heartbeat.
  constexpr Duration kMaxTickDelay = Milliseconds(250);
  constexpr Duration kChangePause = Milliseconds(700);
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > kMaxTickDelay) {
    changes_allowed_from_ = now + kChangePause;
  }
  ticked_at_ = now;
}

// Logs the state that explains pauses and times to first events of callers,
// once a second.
void GroupTask::LogState(TimePoint now) {
  constexpr Duration kMinLogInterval = Seconds(1);
  if (now - state_logged_at_ < kMinLogInterval) {
    return;
  }
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double slowest = 0.0;
  for (const auto& [rank, load] : loads_at_) {
    running += load.running;
    waiting += load.waiting;
  }
  for (const auto& [rank, pace] : paces_) {
    slowest = std::max(slowest, pace);
  }
  const std::uint64_t step = newest_step_.value();
  const std::uint64_t steps =
      step > state_logged_step_ ? step - state_logged_step_ : 0;
  const auto elapsed =
      static_cast<std::uint64_t>((now - state_logged_at_).count());
  constexpr std::uint64_t kMicrosecondsPerMs = 1000;
  constexpr double kPercent = 100.0;
  log_.Info("Group state.",
            {{"group", group_.value()},
             {"epoch", switch_.epoch().value()},
             {"version", switch_.version().value()},
             {"step", step},
             {"step_ms", steps == 0 || state_logged_at_ == TimePoint{}
                             ? 0
                             : elapsed / kMicrosecondsPerMs / steps},
             {"running", running},
             {"waiting", waiting},
             {"slots", engine_.slots * ranks_},
             {"slowest_percent", static_cast<int>(slowest * kPercent)},
             {"heard", silence_.known_ranks()},
             {"missing", silence_.Missing(now).size()},
             {"counts", static_cast<std::uint64_t>(loads_.weight())},
             {"sums", sums_since_log_},
             {"plans", plans_since_log_},
             {"planning_ms", planning_since_log_ / Milliseconds(1)},
             {"oldest_sum_ms", OldestSumAge(now) / Milliseconds(1)}});
  sums_since_log_ = 0;
  plans_since_log_ = 0;
  planning_since_log_ = Duration::zero();
  state_logged_at_ = now;
  state_logged_step_ = step;
}

GroupStats GroupTask::stats(TimePoint now) const {
  return {silence_.known_ranks(), silence_.Missing(now).size(),
          OldestSumAge(now), last_plan_duration_, now - ticked_at_};
}

// Age of the oldest sum among the readers that are still in use.
Duration GroupTask::OldestSumAge(TimePoint now) const {
  constexpr Duration kMaxReaderAge = Seconds(30);
  Duration oldest{};
  for (const auto& [reader, sum] : last_sums_) {
    const Duration age = now - sum.at;
    if (age < kMaxReaderAge) {
      oldest = std::max(oldest, age);
    }
  }
  return oldest;
}

// Sends due orders, and starts a plan as soon as the map may be changed.
void GroupTask::Advance() {
  const TimePoint now = SteadyNow();
  SendDue(now);
  if (switch_.phase() == SwitchPhase::kIdle && now >= plan_due_ &&
      now >= changes_allowed_from_ && !is_planning_) {
    plan_due_ = now + kPlanInterval;
    is_planning_ = true;
    Spawn([this] {
      Plan();
      is_planning_ = false;
    });
  }
}

void GroupTask::SendDue(TimePoint now) {
  for (const groups::RankOrder& order : SendMulticast(switch_.Tick(now), now)) {
    SendOrder(order);
  }
  const std::vector<RankIndex> asked = switch_.RanksToPoll(now);
  if (asked.size() > kMaxDirectCalls) {
    // The readers report all of these ranks sooner than the leader could poll
    // them.
    schedule_.Expedite(now);
    StartRounds(now);
    UpdatePhase();
    return;
  }
  for (const RankIndex rank : asked) {
    RequestReport(rank, addresses_.at(rank));
  }
  UpdatePhase();
}

void GroupTask::UpdatePhase() {
  if (switch_.phase() == last_phase_) {
    return;
  }
  const TimePoint now = SteadyNow();
  log_.Info("Group phase.", {{"group", group_.value()},
                             {"from", NameOf(last_phase_)},
                             {"to", NameOf(switch_.phase())},
                             {"after_ms", (now - phase_since_).count() / 1000},
                             {"epoch", switch_.epoch().value()},
                             {"version", switch_.version().value()},
                             {"why", switch_.why()}});
  last_phase_ = switch_.phase();
  phase_since_ = now;
  if (switch_.NeedsAllReports(now)) {
    // Rounds that were scheduled at the interval of the idle phase would come
    // too late.
    schedule_.Expedite(now);
  }
}

void GroupTask::Spawn(std::function<void()> body) {
  ++pending_calls_;
  loop_.Spawn([this, body = std::move(body)] {
    body();
    --pending_calls_;
  });
}

}  // namespace bilberryspool::control_node
