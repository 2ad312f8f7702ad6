// GroupTask: one group's reports, counts, plans and orders.

#include <algorithm>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/placement/bounded_plan.h"
#include "plugins/control_node/group_keeper.h"

namespace bilberryspool::control_node {

using groups::SwitchPhase;
using net::SteadyNow;

namespace {

constexpr Duration kBusyReports = Milliseconds(150);
constexpr Duration kIdleReports = Milliseconds(1000);
constexpr Duration kReportPatience = Milliseconds(400);
constexpr Duration kOrderPatience = Milliseconds(250);
constexpr Duration kPicksInterval = Milliseconds(700);
constexpr Duration kPlanInterval = Milliseconds(350);
// Ranks whose picks are read. Requests fall on ranks alike, so a few show what
// is in demand, and each reading makes the whole group pause.
constexpr std::uint32_t kSampledRanks = 4;
// Below this many counts the shares of rare experts are noise.
constexpr double kLeastWeight = 20'000.0;
// A change must make the layers this much shorter.
constexpr double kLeastGain = 0.04;

// The map of a group that has just formed: experts in turn.
std::shared_ptr<const placement::ExpertMap> FirstMap(
    const traffic::EngineModel& engine,
    std::uint32_t ranks) {
  auto map = std::make_shared<placement::ExpertMap>(engine.expert_layers,
                                                    engine.experts_per_layer);
  for (std::uint32_t layer = 0; layer < engine.expert_layers; ++layer) {
    for (std::uint32_t e = 0; e < engine.experts_per_layer; ++e) {
      map->Add({placement::LayerIndex(layer), ExpertIndex(e)},
               RankIndex(e % ranks));
    }
  }
  return map;
}

std::string_view NameOf(SwitchPhase phase) {
  switch (phase) {
    case SwitchPhase::kObserving:
      return "observing";
    case SwitchPhase::kIdle:
      return "idle";
    case SwitchPhase::kPreparing:
      return "preparing";
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
  return options;
}

placement::RecentLoadsOptions LoadOptions(const traffic::EngineModel& engine) {
  placement::RecentLoadsOptions options;
  options.layers = engine.expert_layers;
  options.experts = engine.experts_per_layer;
  return options;
}

}  // namespace

GroupTask::GroupTask(net::NetworkLoop& loop,
                     net::HttpClient& client,
                     const EngineProtocol& protocol,
                     GroupId group,
                     const traffic::EngineModel& engine,
                     std::uint32_t ranks,
                     MapVersion first_version)
    : loop_(loop),
      client_(client),
      protocol_(protocol),
      group_(std::move(group)),
      engine_(engine),
      ranks_(ranks),
      log_("groups"),
      switch_(SwitchOptions(ranks), first_version, SteadyNow()),
      loads_(LoadOptions(engine)) {}

void GroupTask::SetAddress(RankIndex rank, const net::Endpoint& endpoint) {
  if (rank.value() < ranks_) {
    addresses_[rank] = endpoint;
  }
}

void GroupTask::Tick(const std::function<bool()>& may_act) {
  if (!has_all_ranks()) {
    return;
  }
  const TimePoint now = SteadyNow();
  if (now >= reports_due_) {
    const bool is_busy = switch_.phase() != SwitchPhase::kIdle;
    reports_due_ = now + (is_busy ? kBusyReports : kIdleReports);
    AskReports(now);
  }
  if (now >= picks_due_) {
    picks_due_ = now + kPicksInterval;
    AskPicks(now);
  }
  for (const groups::RankOrder& order : switch_.Tick(now)) {
    SendOrder(order, may_act);
  }
  NotePhase();
  ReadMap();
  if (switch_.phase() == SwitchPhase::kIdle && now >= plan_due_) {
    plan_due_ = now + kPlanInterval;
    Plan(now);
  }
}

void GroupTask::NotePhase() {
  if (switch_.phase() == last_phase_) {
    return;
  }
  const TimePoint now = SteadyNow();
  log_.Info("Group phase.",
            {{"group", group_.value()},
             {"from", NameOf(last_phase_)},
             {"to", NameOf(switch_.phase())},
             {"after_ms", (now - phase_since_).count() / 1000},
             {"epoch", switch_.epoch().value()},
             {"version", switch_.version().value()},
             {"why", switch_.why()}});
  last_phase_ = switch_.phase();
  phase_since_ = now;
}

// Empty where there was no answer, or another than 200.
std::string GroupTask::BodyOf(const net::HttpClient::SendResult& result) const {
  constexpr int kOk = 200;
  const auto* response = std::get_if<net::HttpResponse>(&result);
  return response != nullptr && response->head.status == kOk ? response->body
                                                             : "";
}

void GroupTask::AskReports(TimePoint now) {
  for (const auto& [rank, endpoint] : addresses_) {
    loop_.Spawn([this, rank = rank, endpoint = endpoint, now] {
      const auto report = protocol_.read_report(BodyOf(client_.Send(
          endpoint, protocol_.report_request(), kReportPatience)));
      if (report.has_value()) {
        switch_.OnReport(rank, *report, now);
      }
    });
  }
}

void GroupTask::AskPicks(TimePoint) {
  const std::uint32_t stride = std::max(1U, ranks_ / kSampledRanks);
  for (std::uint32_t i = 0; i < ranks_; i += stride) {
    const RankIndex rank(i);
    loop_.Spawn([this, rank, endpoint = addresses_.at(rank)] {
      const auto picks = protocol_.read_picks(BodyOf(
          client_.Send(endpoint, protocol_.picks_request(), kReportPatience)));
      if (picks.has_value()) {
        loads_.Observe(rank, picks->counts, SteadyNow());
      }
    });
  }
}

// Whoever takes a group over has to learn what the map in use holds.
void GroupTask::ReadMap() {
  const auto version = switch_.unread_version();
  if (!version.has_value() || is_reading_map_) {
    return;
  }
  if (version->value() == 0) {
    switch_.OnMapRead(*version, FirstMap(engine_, ranks_));
    return;
  }
  is_reading_map_ = true;
  loop_.Spawn([this, version = *version] {
    auto map = std::make_shared<placement::ExpertMap>(
        engine_.expert_layers, engine_.experts_per_layer);
    bool is_whole = true;
    for (const auto& [rank, endpoint] : addresses_) {
      const auto read = protocol_.read_experts(
          BodyOf(client_.Send(endpoint, protocol_.experts_request(),
                              kReportPatience)));
      if (!read.has_value() || read->version != version ||
          read->experts.size() != engine_.expert_layers) {
        is_whole = false;
        break;
      }
      for (std::uint32_t layer = 0; layer < engine_.expert_layers; ++layer) {
        for (const ExpertIndex expert : read->experts[layer]) {
          map->Add({placement::LayerIndex(layer), expert}, rank);
        }
      }
    }
    if (is_whole && map->Orphans().empty()) {
      switch_.OnMapRead(version, map);
    }
    loop_.SleepFor(kBusyReports);
    is_reading_map_ = false;
  });
}

void GroupTask::Plan(TimePoint now) {
  if (loads_.weight() < kLeastWeight || switch_.map() == nullptr) {
    return;
  }
  placement::BoundedPlanOptions options;
  options.ranks = ranks_;
  options.places = engine_.expert_places;
  options.new_experts = engine_.new_experts;
  const placement::BoundedPlan plan =
      placement::PlanBounded(*switch_.map(), loads_.loads(), options);
  const double gain = 1.0 - plan.imbalance_after / plan.imbalance_before;
  if (gain < kLeastGain) {
    return;
  }
  constexpr double kPercent = 100.0;
  log_.Info("Changing the map.",
            {{"group", group_.value()},
             {"imbalance_percent",
              static_cast<int>(plan.imbalance_before * kPercent)},
             {"planned_percent",
              static_cast<int>(plan.imbalance_after * kPercent)},
             {"fetches", plan.fetches},
             {"counts", static_cast<std::uint64_t>(loads_.weight())}});
  switch_.Begin(std::make_shared<const placement::ExpertMap>(plan.map), now);
}

void GroupTask::SendOrder(const groups::RankOrder& order,
                          const std::function<bool()>& may_act) {
  loop_.Spawn([this, order, may_act] {
    // A node that was suspended may have been replaced meanwhile.
    if (!may_act()) {
      return;
    }
    const auto result =
        client_.Send(addresses_.at(order.rank),
                     protocol_.order_request(order, ranks_), kOrderPatience);
    const auto* response = std::get_if<net::HttpResponse>(&result);
    const groups::OrderAnswer answer =
        response == nullptr ? groups::OrderAnswer::kUnanswered
                            : protocol_.read_answer(response->head.status);
    switch_.OnAnswer(order, answer, SteadyNow());
  });
}

}  // namespace bilberryspool::control_node
