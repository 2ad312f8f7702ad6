#include "plugins/control_node/group_task.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/groups/round_codec.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/packing/packed_text.h"

namespace bilberryspool::control_node {

using groups::SwitchPhase;
using net::SteadyNow;

namespace {

// Orders are answered at once, and the group may be standing still until the
// last one is: a lost one is given again soon. An engine answers its sidecar
// within a few milliseconds; to send an order to all ranks takes up to 1 ms
// each on 0.15 of a core, and a map is longer to send and to read.
constexpr Duration kOrderPatience = Milliseconds(25);
constexpr Duration kOrderWay = Milliseconds(40);
constexpr Duration kMapWay = Milliseconds(80);
constexpr Duration kOrderTimePerRank = Milliseconds(1);
// Below this many counts the shares of rare experts are noise.
constexpr double kLeastWeight = 10'000.0;
// How much a change must shorten the layers, and down to which imbalance a
// layer is worth copies. While engines have room a longer step makes nobody
// late, so only what is far off is mended: copies are dear.
struct Ambition {
  double least_gain;
  double good_enough;
};
constexpr Ambition kBusyAmbition{0.12, 1.08};
constexpr Ambition kCalmAmbition{0.2, 1.25};
// Requests at a rank, on the mean, as a share of its slots.
constexpr double kBusyShare = 0.6;
// A rank is not taken for faster than a healthy one.
constexpr double kLeastPace = 1.0;
// Calls to ranks that the leader makes at once by itself; more go by way of the
// nodes that read them.
constexpr std::size_t kMostCalls = 24;
constexpr Duration kPlanInterval = Milliseconds(50);
// A plan is made in slices of this, and others have their turn in between.
constexpr Duration kPlanSlice = Milliseconds(15);
constexpr Duration kPlanPause = Milliseconds(1);

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

groups::StepSwitchOptions SwitchOptions(std::uint32_t ranks) {
  groups::StepSwitchOptions options;
  options.ranks = ranks;
  // Ranks confirm one after the other, as the orders reached them; most are
  // done when first asked. Chosen, 36 ms with 72 ranks; the order repeated with
  // the whole map took 90 ms.
  constexpr Duration kPollPerRank = Microseconds(500);
  options.copy_poll = kPollPerRank * ranks;
  return options;
}

}  // namespace

GroupTask::GroupTask(net::NetworkLoop& loop,
                     EngineCalls& calls,
                     RankRounds& rounds,
                     const sidecar::EngineProtocol& protocol,
                     GroupId group,
                     const traffic::EngineModel& engine,
                     std::uint32_t ranks,
                     MapVersion first_version)
    : loop_(loop),
      calls_(calls),
      rounds_(rounds),
      protocol_(protocol),
      group_(std::move(group)),
      engine_(engine),
      ranks_(ranks),
      log_("groups"),
      switch_(SwitchOptions(ranks), first_version, SteadyNow()),
      loads_(LoadOptions(engine)) {}

placement::RecentLoadsOptions GroupTask::LoadOptions(
    const traffic::EngineModel& engine) {
  placement::RecentLoadsOptions options;
  options.layers = engine.expert_layers;
  options.experts = engine.experts_per_layer;
  return options;
}

void GroupTask::SetAddress(RankIndex rank,
                           const net::Endpoint& endpoint,
                           const FailureDomain& domain) {
  if (rank.value() < ranks_) {
    addresses_[rank] = endpoint;
    shares_.SetRank(rank, domain);
  }
}

void GroupTask::Tick() {
  if (!has_all_ranks()) {
    return;
  }
  const TimePoint now = SteadyNow();
  NoteLateness(now);
  silence_.Tick(now);
  NoteState(now);
  BeginRounds(now);
  AskSilent(now);
  Pump();
  ReadMap();
}

// A node that is short of processor time may lose its lead in the middle of a
// change, and the group then stands still until another node has taken over.
void GroupTask::NoteLateness(TimePoint now) {
  // A plan for a large group alone takes a tenth of a second; followers vote
  // anew after half a second without a word.
  constexpr Duration kLate = Milliseconds(250);
  constexpr Duration kCalm = Milliseconds(700);
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > kLate) {
    calm_from_ = now + kCalm;
  }
  ticked_at_ = now;
}

// What the pauses and first events of callers follow from; one line a second.
void GroupTask::NoteState(TimePoint now) {
  constexpr Duration kBetweenLines = Seconds(1);
  if (now - state_at_ < kBetweenLines) {
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
  const std::uint64_t steps = step > state_step_ ? step - state_step_ : 0;
  const auto elapsed = static_cast<std::uint64_t>((now - state_at_).count());
  constexpr std::uint64_t kMicrosecondsPerMs = 1000;
  constexpr double kPercent = 100.0;
  log_.Info("Group state.",
            {{"group", group_.value()},
             {"epoch", switch_.epoch().value()},
             {"version", switch_.version().value()},
             {"step", step},
             {"step_ms", steps == 0 || state_at_ == TimePoint{}
                             ? 0
                             : elapsed / kMicrosecondsPerMs / steps},
             {"running", running},
             {"waiting", waiting},
             {"slots", engine_.slots * ranks_},
             {"slowest_percent", static_cast<int>(slowest * kPercent)},
             {"heard", silence_.heard()},
             {"missing", silence_.Missing(now).size()},
             {"counts", static_cast<std::uint64_t>(loads_.weight())},
             {"sums", sums_},
             {"oldest_sum_ms", OldestSum(now) / Milliseconds(1)}});
  sums_ = 0;
  state_at_ = now;
  state_step_ = step;
}

// Of the sums of present readers, how long ago the oldest one came.
Duration GroupTask::OldestSum(TimePoint now) const {
  constexpr Duration kLongReplaced = Seconds(30);
  Duration oldest{};
  for (const auto& [reader, sum] : sums_of_) {
    const Duration age = now - sum.at;
    if (age < kLongReplaced) {
      oldest = std::max(oldest, age);
    }
  }
  return oldest;
}

// Sends what is due, and plans as soon as there is room for a change.
void GroupTask::Pump() {
  const TimePoint now = SteadyNow();
  SendDue(now);
  if (switch_.phase() == SwitchPhase::kIdle && now >= plan_due_ &&
      now >= calm_from_ && !is_planning_) {
    plan_due_ = now + kPlanInterval;
    is_planning_ = true;
    Spawn([this] {
      Plan();
      is_planning_ = false;
    });
  }
}

void GroupTask::SendDue(TimePoint now) {
  for (const groups::RankOrder& order : SendWide(switch_.Tick(now), now)) {
    SendOrder(order);
  }
  const std::vector<RankIndex> asked = switch_.Questions(now);
  if (asked.size() > kMostCalls) {
    // The readers tell of all sooner than the leader could ask them.
    shares_.Hasten(now);
    BeginRounds(now);
    NotePhase();
    return;
  }
  for (const RankIndex rank : asked) {
    AskReport(rank, addresses_.at(rank));
  }
  NotePhase();
}

void GroupTask::NotePhase() {
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
    // What was due in the calm before would come late.
    shares_.Hasten(now);
  }
}

void GroupTask::Spawn(std::function<void()> body) {
  ++calling_;
  loop_.Spawn([this, body = std::move(body)] {
    body();
    --calling_;
  });
}

placement::BoundedPlanOptions GroupTask::PlanOptions() {
  placement::BoundedPlanOptions options;
  options.ranks = ranks_;
  options.places = engine_.expert_places;
  options.new_experts = engine_.new_experts;
  double requests = 0.0;
  for (const auto& [rank, load] : loads_at_) {
    requests += load.running + load.waiting;
  }
  const bool is_busy = requests > kBusyShare * engine_.slots * ranks_;
  const Ambition& ambition = is_busy ? kBusyAmbition : kCalmAmbition;
  options.good_enough = ambition.good_enough;
  options.least_gain = ambition.least_gain;
  options.speeds.assign(ranks_, 1.0);
  for (const auto& [rank, pace] : paces_) {
    options.speeds[rank.value()] = 1.0 / std::max(pace, kLeastPace);
  }
  options.pause = PauseBetweenMoves();
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
  placement::ChangeTimes times;
  times.copy = engine_.expert_copy;
  const placement::BoundedPlan plan =
      placement::PlanSoonest(*map, loads, options, times);
  const double gain = 1.0 - plan.imbalance_after / plan.imbalance_before;
  const TimePoint now = SteadyNow();
  // The group may have formed anew while the plan was made.
  const bool still_fits =
      switch_.phase() == SwitchPhase::kIdle && switch_.map() == map;
  if (gain < options.least_gain || !still_fits) {
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
       {"most_fetches", plan.most_fetches},
       {"counts", static_cast<std::uint64_t>(loads_.weight())},
       {"planned_in_ms", (now - begun) / Milliseconds(1)}});
  switch_.Begin(std::make_shared<const placement::ExpertMap>(plan.map),
                engine_.expert_copy * plan.most_fetches, now);
  SendDue(now);
}

EngineCalls::Patience GroupTask::PatienceFor(
    const groups::EngineOrder& order) const {
  const bool has_map = std::holds_alternative<groups::PrepareMap>(order);
  return {kOrderPatience,
          (has_map ? kMapWay : kOrderWay) + kOrderTimePerRank * ranks_};
}

void GroupTask::SendOrder(const groups::RankOrder& order) {
  Spawn([this, order] {
    // A node that was suspended may have been replaced meanwhile. Where it
    // still leads after all, the order is given later.
    if (!may_act_()) {
      switch_.OnAnswer(order, groups::OrderAnswer::kUnanswered, SteadyNow());
      return;
    }
    const net::HttpRequest request = protocol_.order_request(order, ranks_);
    const net::Endpoint& engine = addresses_.at(order.rank);
    const bool is_about_hold =
        std::holds_alternative<groups::HoldStep>(order.order) ||
        std::holds_alternative<groups::ReleaseStep>(order.order);
    const EngineCalls::Answer answer =
        is_about_hold ? AskForHold(engine, request)
                      : calls_.Ask(engine, request, PatienceFor(order.order));
    OnAnswer(order, answer.status);
    Pump();
  });
}

void GroupTask::OnAnswer(const groups::RankOrder& order, int status) {
  switch_.OnAnswer(order,
                   status == 0 ? groups::OrderAnswer::kUnanswered
                               : protocol_.read_answer(status),
                   SteadyNow());
}

// Orders to prepare and to arm may reach a rank late without harm, so they may
// go by way of a node that freezes meanwhile; what is not answered in time is
// given again by another way. Those about a hold go alone.
std::vector<groups::RankOrder> GroupTask::SendWide(
    std::vector<groups::RankOrder> orders,
    TimePoint now) {
  if (orders.size() <= kMostCalls) {
    return orders;
  }
  const groups::RankOrder first = orders.front();
  std::vector<RankIndex> ranks;
  for (const groups::RankOrder& order : orders) {
    if (groups::SameOrder(order.order, first.order)) {
      ranks.push_back(order.rank);
    }
  }
  const groups::WideOrder wide = WideOrderOf(first);
  std::set<RankIndex> sent;
  for (const Round& part : shares_.Split(ranks, now)) {
    if (!part.reader.has_value()) {
      continue;
    }
    SendPart(part, first, wide);
    sent.insert(part.ranks.begin(), part.ranks.end());
  }
  std::erase_if(orders, [&](const groups::RankOrder& order) {
    return sent.contains(order.rank);
  });
  return orders;
}

// For no rank yet.
groups::WideOrder GroupTask::WideOrderOf(const groups::RankOrder& order) const {
  const net::HttpRequest request = protocol_.order_request(order, ranks_);
  groups::WideOrder wide;
  wide.patience = kOrderPatience;
  wide.method = request.method;
  wide.target = request.target;
  wide.content_type = request.headers.ValueOr("Content-Type", "");
  wide.body = packing::Pack(request.body);
  return wide;
}

void GroupTask::SendPart(const Round& part,
                         const groups::RankOrder& order,
                         groups::WideOrder wide) {
  for (const RankIndex rank : part.ranks) {
    wide.ranks.push_back({rank, addresses_.at(rank).ToString()});
  }
  Spawn([this, part, order, wide = std::move(wide)] {
    const TimePoint asked = SteadyNow();
    const auto answer = AnswerOf(part, wide);
    if (!answer.has_value() && !silence_.WasLateSince(asked, SteadyNow())) {
      shares_.Rest(*part.reader, SteadyNow());
    }
    groups::RankOrder one = order;
    for (std::size_t i = 0; i < part.ranks.size(); ++i) {
      const bool is_told = answer.has_value() && i < answer->statuses.size();
      one.rank = part.ranks[i];
      OnAnswer(one, is_told ? static_cast<int>(answer->statuses[i]) : 0);
    }
    Pump();
  });
}

std::optional<groups::WideAnswer> GroupTask::AnswerOf(
    const Round& part,
    const groups::WideOrder& wide) {
  if (!may_act_()) {
    return std::nullopt;
  }
  const EngineCalls::Answer answer =
      calls_.AskNode(*part.reader, OrderSpreader::RequestFor(wide),
                     OrderSpreader::PatienceFor(wide) + kOrderWay);
  return answer.status == net::status::kOk
             ? groups::DecodeWideAnswer(answer.body)
             : std::nullopt;
}

EngineCalls::Answer GroupTask::AskForHold(const net::Endpoint& engine,
                                          const net::HttpRequest& request) {
  constexpr EngineCalls::Patience kPatience{kOrderPatience, kOrderWay};
  const auto helper = helpers_.Next();
  if (!helper.has_value()) {
    return calls_.Ask(engine, request, kPatience);
  }
  EngineCalls::Answer answer =
      calls_.AskThrough(*helper, engine, request, kPatience);
  const Passing passing = JudgePassing(answer.status);
  helpers_.OnPassed(*helper, passing);
  if (passing == Passing::kHelperFailed) {
    log_.Info("An order about a hold goes by way of another node.",
              {{"failed", helper->ToString()}, {"status", answer.status}});
  }
  return passing == Passing::kAnswered ? answer : EngineCalls::Answer{};
}

}  // namespace bilberryspool::control_node
