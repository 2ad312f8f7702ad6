// GroupTask: what the ranks tell.

#include <algorithm>
#include <cmath>

#include "libs/groups/slow_ranks.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/traffic/target_pool.h"
#include "plugins/control_node/group_task.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// A rank that left out more reports than this while most others have answered
// is taken for cut off or frozen (0.63 s with 16 ranks, 1.1 s with 72): one
// report may get lost. Callers that are sent there would wait for nothing until
// each gateway has noticed by itself.
constexpr double kMissingReports = 2.5;
constexpr EngineCalls::Patience kReportPatience{Milliseconds(300)};
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

}  // namespace

void GroupTask::AskReports() {
  for (const auto& [rank, endpoint] : addresses_) {
    AskReport(rank, endpoint);
  }
}

void GroupTask::AskReport(RankIndex rank, const net::Endpoint& endpoint) {
  Spawn([this, rank, endpoint] {
    const EngineCalls::Answer answer =
        calls_.Ask(endpoint, protocol_.report_request(), kReportPatience);
    const auto report = protocol_.read_report(answer.body);
    if (!report.has_value()) {
      return;
    }
    paces_[rank] = report->pace;
    heard_at_[rank] = SteadyNow();
    loads_at_[rank] = {report->running, report->waiting};
    newest_step_ = report->step;
    switch_.OnReport(rank, *report, answer.as_of, SteadyNow());
    Pump();
  });
}

void GroupTask::AskPicks() {
  const std::uint32_t stride = std::max(1U, ranks_ / kSampledRanks);
  const TimePoint now = SteadyNow();
  for (std::uint32_t i = 0; i < kSampledRanks && i < ranks_; ++i) {
    RankIndex rank((i * stride) % ranks_);
    // Read from afar the counts make the whole group pause.
    for (std::uint32_t tries = 0;
         tries < stride && !calls_.HasSidecar(addresses_.at(rank), now);
         ++tries) {
      rank = RankIndex((rank.value() + 1) % ranks_);
    }
    if (!calls_.HasSidecar(addresses_.at(rank), now)) {
      continue;
    }
    Spawn([this, rank, endpoint = addresses_.at(rank)] {
      const EngineCalls::Answer answer =
          calls_.Ask(endpoint, protocol_.picks_request(), kReportPatience);
      const auto picks = protocol_.read_picks(answer.body);
      if (picks.has_value()) {
        loads_.Observe(
            rank, {picks->counts, picks->step.value(), loads_at_[rank].running},
            SteadyNow());
        switch_.OnStep(picks->epoch, picks->step, answer.as_of);
        Pump();
      }
    });
  }
}

void GroupTask::AddSlow(std::map<std::string, double>& by_address) const {
  const groups::BatchTimes times{engine_.slots, engine_.step,
                                 engine_.step_per_request,
                                 engine_.expert_share};
  for (const RankIndex rank : groups::FindSlowRanks(paces_, times)) {
    // In steps of a half, so that a small change is no news.
    by_address[addresses_.at(rank).ToString()] =
        std::round(paces_.at(rank) * 2.0) / 2.0;
  }
  const TimePoint now = SteadyNow();
  std::vector<RankIndex> missing;
  for (const auto& [rank, heard_at] : heard_at_) {
    if (ToSeconds(now - heard_at) >
        kMissingReports * ToSeconds(idle_interval())) {
      missing.push_back(rank);
    }
  }
  // Where most are missing, it is this node that is cut off.
  if (missing.size() * 2 >= heard_at_.size()) {
    return;
  }
  for (const RankIndex rank : missing) {
    by_address[addresses_.at(rank).ToString()] = traffic::kMissingPace;
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
  // All ranks at once: the group may be standing still until the map is known.
  auto reading = std::make_shared<MapReading>();
  reading->map = std::make_shared<placement::ExpertMap>(
      engine_.expert_layers, engine_.experts_per_layer);
  reading->version = *version;
  reading->missing = addresses_.size();
  for (const auto& [rank, endpoint] : addresses_) {
    Spawn([this, reading, rank = rank, endpoint = endpoint] {
      const auto read = protocol_.read_experts(
          calls_.Ask(endpoint, protocol_.experts_request(), kReportPatience)
              .body);
      if (!read.has_value() || read->version != reading->version ||
          read->experts.size() != engine_.expert_layers) {
        reading->is_whole = false;
      } else {
        AddExperts(*reading->map, rank, read->experts);
      }
      if (--reading->missing == 0) {
        EndReading(*reading);
      }
    });
  }
}

void GroupTask::AddExperts(
    placement::ExpertMap& map,
    RankIndex rank,
    const std::vector<std::vector<ExpertIndex>>& experts) const {
  for (std::uint32_t layer = 0; layer < engine_.expert_layers; ++layer) {
    for (const ExpertIndex expert : experts[layer]) {
      map.Add({placement::LayerIndex(layer), expert}, rank);
    }
  }
}

void GroupTask::EndReading(const MapReading& reading) {
  if (reading.is_whole && reading.map->Orphans().empty()) {
    switch_.OnMapRead(reading.version, reading.map);
    Pump();
  }
  loop_.SleepFor(busy_interval());
  is_reading_map_ = false;
}

}  // namespace bilberryspool::control_node
