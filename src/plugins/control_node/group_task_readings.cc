// GroupTask: reads the state of the ranks.

#include <algorithm>
#include <cmath>
#include <set>

#include "libs/groups/round_codec.h"
#include "libs/groups/slow_ranks.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/traffic/target_pool.h"
#include "plugins/control_node/group_task.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// The leader polls a rank itself if no reader reported it for this long.
constexpr Duration kSilenceTimeout = Milliseconds(250);
// Network time of a reader's answer, in addition to the time limit for its
// ranks.
constexpr Duration kRoundTransit = Milliseconds(300);
constexpr EngineCalls::CallTimeouts kReportTimeouts{Milliseconds(300)};
// The map of a newly formed group: experts are assigned to ranks in turn.
std::shared_ptr<const placement::ExpertMap> InitialMap(
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

void GroupTask::StartRounds(TimePoint now) {
  for (const PollingRound& round : schedule_.StartDueRounds(now)) {
    PollRanks(round);
  }
}

std::optional<groups::RoundResponse> GroupTask::RequestAnswer(
    const PollingRound& round,
    const groups::RoundRequest& question) {
  if (!round.reader.has_value()) {
    return poller_.Read(question);
  }
  const EngineCalls::Answer answer =
      calls_.CallNode(*round.reader, RankPoller::RequestFor(question),
                      RankPoller::kRoundTimeout + kRoundTransit);
  return answer.status == net::status::kOk
             ? groups::DecodeRoundResponse(answer.body)
             : std::nullopt;
}

void GroupTask::PollRanks(const PollingRound& round) {
  Spawn([this, round] {
    groups::RoundRequest question;
    question.group = group_;
    question.mark = last_sums_[round.reader].mark;
    question.read_work = read_work();
    question.counters = engine_.expert_layers * engine_.experts_per_layer;
    for (const RankIndex rank : round.ranks) {
      question.ranks.push_back({rank, addresses_.at(rank).ToString()});
    }
    const TimePoint asked = SteadyNow();
    const auto answer = RequestAnswer(round, question);
    if (!answer.has_value()) {
      log_.Info("A control node does not read its ranks.",
                {{"group", group_.value()},
                 {"node", round.reader.has_value() ? round.reader->ToString()
                                                   : "this one"},
                 {"ranks", round.ranks.size()},
                 {"after_ms", (SteadyNow() - asked) / Milliseconds(1)}});
      const TimePoint now = SteadyNow();
      schedule_.OnFailure(round, silence_.WasLateSince(asked, now), now);
      return;
    }
    schedule_.OnAnswer(round, answer->domain, SteadyNow());
    RecordSum(round, *answer);
    for (const groups::RankPollResult& word : answer->results) {
      // The answer waits for the slowest rank. That a rank responded is only
      // known for the time at which it was polled; it may have frozen since.
      const TimePoint at = asked + word.poll_delay;
      ApplyReport(word.rank, word.report, at, at);
    }
    RecordSilentRanks(round, *answer);
    Advance();
  });
}

void GroupTask::RecordSum(const PollingRound& round,
                          const groups::RoundResponse& answer) {
  const TimePoint now = SteadyNow();
  Sum& sum = last_sums_[round.reader];
  sum.mark = answer.mark;
  if (answer.work.empty()) {
    return;
  }
  sum.at = now;
  ++sums_since_log_;
  loads_.Add(answer.work, now);
}

// If at least half of its ranks are silent, the reader itself may be
// partitioned or late; the leader then polls them.
void GroupTask::RecordSilentRanks(const PollingRound& round,
                                  const groups::RoundResponse& answer) {
  std::set<RankIndex> silent(round.ranks.begin(), round.ranks.end());
  for (const groups::RankPollResult& word : answer.results) {
    silent.erase(word.rank);
  }
  if (silent.size() * 2 >= round.ranks.size()) {
    return;
  }
  for (const RankIndex rank : silent) {
    silence_.OnTimeout(rank, SteadyNow());
  }
}

// Work of processing one prompt token, relative to the work of generating one
// token.
double GroupTask::read_work() const {
  const double write_time = ToSeconds(engine_.step_per_request);
  const double read_rate = engine_.prompt_tokens_per_second;
  return write_time > 0.0 && read_rate > 0.0
             ? std::min(1.0, 1.0 / (read_rate * write_time))
             : 1.0;
}

// Polls the ranks that no reader reports because their sidecar or the reader
// has failed.
void GroupTask::PollSilentRanks(TimePoint now) {
  std::vector<RankIndex> silent;
  for (const auto& [rank, endpoint] : addresses_) {
    if (!silence_.HasResponded(rank, kSilenceTimeout, now) &&
        now - polled_at_[rank] > kSilenceTimeout) {
      silent.push_back(rank);
    }
  }
  silent.resize(
      calls_.silent_polls().Take(silent.size(), addresses_.size(), now));
  for (const RankIndex rank : silent) {
    polled_at_[rank] = now;
    RequestReport(rank, addresses_.at(rank));
  }
}

void GroupTask::RequestReport(RankIndex rank, const net::Endpoint& endpoint) {
  Spawn([this, rank, endpoint] {
    const TimePoint asked = SteadyNow();
    const EngineCalls::Answer answer = calls_.CallEngine(
        endpoint, protocol_.report_request(), kReportTimeouts);
    const auto report = protocol_.read_report(answer.body);
    if (!report.has_value()) {
      if (!silence_.WasLateSince(asked, SteadyNow())) {
        silence_.OnTimeout(rank, SteadyNow());
      }
      return;
    }
    // The reply may have been sent long before it arrived.
    ApplyReport(rank, *report, answer.as_of, asked);
    Advance();
  });
}

void GroupTask::ApplyReport(RankIndex rank,
                            const groups::EngineReport& report,
                            TimePoint as_of,
                            TimePoint responded_at) {
  paces_[rank] = report.pace;
  silence_.OnResponse(rank, SteadyNow());
  loads_at_[rank] = {report.running, report.waiting};
  newest_step_ = report.step;
  if (tracks_passes_) {
    TrackPasses(report);
  }
  switch_.OnReport(rank, report, as_of, responded_at);
}

// Reports of different ranks arrive in any order.
void GroupTask::TrackPasses(const groups::EngineReport& report) {
  if (report.epoch < newest_epoch_) {
    return;
  }
  if (report.epoch > newest_epoch_) {
    newest_epoch_ = report.epoch;
    newest_pass_ = report.step;
  }
  is_open_ = report.is_open;
  newest_pass_ = std::max(newest_pass_, report.step);
  std::uint32_t running = 0;
  for (const auto& [rank, load] : loads_at_) {
    running += load.running;
  }
  room_.OnPass(newest_pass_.value(), running, SteadyNow());
}

void GroupTask::AddSlowTargets(
    std::map<std::string, double>& by_address) const {
  const groups::BatchTimes times{engine_.slots, engine_.step,
                                 engine_.step_per_request,
                                 engine_.expert_share};
  for (const RankIndex rank : groups::FindSlowRanks(paces_, times)) {
    // Rounded to steps of 0.5, so that a small change is not published.
    by_address[addresses_.at(rank).ToString()] =
        std::round(paces_.at(rank) * 2.0) / 2.0;
  }
  for (const RankIndex rank : silence_.Missing(SteadyNow())) {
    by_address[addresses_.at(rank).ToString()] = traffic::kUnresponsivePace;
  }
}

// A new leader must learn the contents of the map in use.
void GroupTask::ReadMap() {
  const auto version = switch_.unread_version();
  if (!version.has_value() || is_reading_map_) {
    return;
  }
  if (version->value() == 0) {
    switch_.OnMapRead(*version, InitialMap(engine_, ranks_));
    return;
  }
  is_reading_map_ = true;
  // All ranks are read at once, because the group may be stalled until the map
  // is known.
  auto reading = std::make_shared<MapReading>();
  reading->map = std::make_shared<placement::ExpertMap>(
      engine_.expert_layers, engine_.experts_per_layer);
  reading->version = *version;
  reading->missing = addresses_.size();
  for (const auto& [rank, endpoint] : addresses_) {
    Spawn([this, reading, rank = rank, endpoint = endpoint] {
      const auto read = protocol_.read_experts(
          calls_
              .CallEngine(endpoint, protocol_.experts_request(),
                          kReportTimeouts)
              .body);
      if (!read.has_value() || read->version != reading->version ||
          read->experts.size() != engine_.expert_layers) {
        reading->is_complete = false;
      } else {
        AddExperts(*reading->map, rank, read->experts);
      }
      if (--reading->missing == 0) {
        FinishMapReading(*reading);
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

void GroupTask::FinishMapReading(const MapReading& reading) {
  if (reading.is_complete && reading.map->Orphans().empty()) {
    switch_.OnMapRead(reading.version, reading.map);
    Advance();
  }
  // Ranks that did not answer are read again after a delay.
  loop_.SleepFor(kSilenceTimeout);
  is_reading_map_ = false;
}

}  // namespace bilberryspool::control_node
