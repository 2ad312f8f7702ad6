#include "plugins/control_node/rank_poller.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "libs/groups/round_codec.h"
#include "libs/net/fiber_signal.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

constexpr char kRoundTarget[] = "/rank-round";
// An engine's report and counts are ready within a few milliseconds; the
// sidecar has 0.15 of a core to read them.
constexpr EngineCalls::CallTimeouts kReadingTimeouts{Milliseconds(60),
                                                     Milliseconds(60)};
// A group that was not polled for this long has another reader, or no longer
// exists.
constexpr Duration kGroupRetention = Seconds(10);

net::HttpRequest ReadingRequest(placement::ReadingMark mark) {
  net::HttpRequest request;
  request.target = "/reading";
  request.headers.Set(sidecar::kMarkField, std::to_string(mark.value()));
  return request;
}

}  // namespace

struct RankPoller::PollingRound {
  TimePoint begun;
  std::vector<groups::RankPollResult> results;
  std::size_t missing = 0;
  net::FiberSignal changed;
};

RankPoller::RankPoller(net::NetworkLoop& loop,
                       EngineCalls& calls,
                       FailureDomain domain)
    : loop_(loop), calls_(calls), domain_(std::move(domain)) {}

bool RankPoller::Handles(const net::HttpRequest& request) {
  return request.target == kRoundTarget;
}

net::HttpRequest RankPoller::RequestFor(const groups::RoundRequest& question) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = kRoundTarget;
  request.headers.Add("Content-Type", "application/octet-stream");
  request.body = groups::Encode(question);
  return request;
}

RankPoller::Group& RankPoller::GroupOf(const groups::RoundRequest& question,
                                       TimePoint now) {
  auto found = groups_.find(question.group);
  // The engines may have been replaced by ones with other experts.
  if (found != groups_.end() && found->second.counters != question.counters) {
    groups_.erase(found);
    found = groups_.end();
  }
  if (found == groups_.end()) {
    placement::PickWeightOptions work;
    work.read_work = question.read_work;
    // A mark from before a restart of this process must not match a current
    // sum.
    const placement::ReadingMark first((std::uint64_t{random_()} << 32U) + 1U);
    found =
        groups_
            .emplace(question.group,
                     Group{question.counters,
                           placement::PickSums(work, question.counters, first),
                           {},
                           now})
            .first;
  }
  found->second.asked_at = now;
  return found->second;
}

void RankPoller::RemoveUnusedGroups(TimePoint now) {
  std::erase_if(groups_, [now](const auto& item) {
    return now - item.second.asked_at > kGroupRetention;
  });
}

bool RankPoller::BeginReading(const GroupId& group, RankIndex rank) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return false;
  }
  RankReadingState& state = found->second.rank_states[rank];
  return !std::exchange(state.is_in_flight, true);
}

std::optional<groups::RankPollResult> RankPoller::ReadRank(
    const GroupId& group,
    const groups::RankAddress& rank,
    TimePoint begun) {
  const auto endpoint = net::ParseEndpoint(rank.engine);
  if (!endpoint.has_value() || !BeginReading(group, rank.rank)) {
    return std::nullopt;
  }
  const EngineCalls::Answer answer = calls_.CallSidecar(
      *endpoint,
      ReadingRequest(groups_.at(group).rank_states.at(rank.rank).last_mark),
      kReadingTimeouts);
  // The group may have been removed during the call.
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return std::nullopt;
  }
  RankReadingState& state = found->second.rank_states[rank.rank];
  state.is_in_flight = false;
  const auto reading = groups::DecodeReading(answer.body);
  if (!reading.has_value()) {
    return std::nullopt;
  }
  state.last_mark = reading->mark;
  if (reading->growth.has_value()) {
    found->second.sums.Add(*reading->growth);
  }
  return groups::RankPollResult{rank.rank, answer.as_of - begun,
                                reading->report};
}

groups::RoundResponse RankPoller::Read(const groups::RoundRequest& question) {
  const TimePoint begun = SteadyNow();
  RemoveUnusedGroups(begun);
  GroupOf(question, begun);
  auto round = std::make_shared<PollingRound>();
  round->begun = begun;
  round->missing = question.ranks.size();
  for (const groups::RankAddress& rank : question.ranks) {
    loop_.Spawn([this, round, group = question.group, rank] {
      if (auto word = ReadRank(group, rank, round->begun)) {
        round->results.push_back(*std::move(word));
      }
      --round->missing;
      round->changed.NotifyAll();
    });
  }
  while (round->missing > 0 &&
         round->changed.WaitUntil(begun + kRoundTimeout)) {
  }
  Group& group = GroupOf(question, SteadyNow());
  groups::RoundResponse answer;
  answer.domain = domain_;
  // A late answer is still added to `round`, which is not read again.
  answer.results = std::move(round->results);
  answer.work = group.sums.Take(question.mark);
  answer.mark = group.sums.mark();
  return answer;
}

void RankPoller::Answer(net::HttpExchange& exchange) {
  const auto question = groups::DecodeRoundRequest(exchange.request().body);
  net::HttpResponseHead head;
  if (!question.has_value()) {
    head.status = net::status::kBadRequest;
    exchange.Respond(std::move(head), "not a question for a round\n");
    return;
  }
  exchange.Respond(std::move(head), groups::Encode(Read(*question)));
}

}  // namespace bilberryspool::control_node
