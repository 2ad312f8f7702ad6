#include "plugins/control_node/rank_rounds.h"

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
constexpr EngineCalls::Patience kReadingPatience{Milliseconds(60),
                                                 Milliseconds(60)};
// A group that was not asked for this long has another reader, or is gone.
constexpr Duration kForgotten = Seconds(10);

net::HttpRequest ReadingRequest(placement::ReadingMark mark) {
  net::HttpRequest request;
  request.target = "/reading";
  request.headers.Set(sidecar::kMarkField, std::to_string(mark.value()));
  return request;
}

}  // namespace

struct RankRounds::Round {
  TimePoint begun;
  std::vector<groups::RankWord> words;
  std::size_t missing = 0;
  net::FiberSignal changed;
};

RankRounds::RankRounds(net::NetworkLoop& loop,
                       EngineCalls& calls,
                       FailureDomain domain)
    : loop_(loop), calls_(calls), domain_(std::move(domain)) {}

bool RankRounds::IsAsked(const net::HttpRequest& request) {
  return request.target == kRoundTarget;
}

net::HttpRequest RankRounds::RequestFor(const groups::RoundQuestion& question) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = kRoundTarget;
  request.headers.Add("Content-Type", "application/octet-stream");
  request.body = groups::Encode(question);
  return request;
}

RankRounds::Group& RankRounds::GroupOf(const groups::RoundQuestion& question,
                                       TimePoint now) {
  auto found = groups_.find(question.group);
  // Its engines may have been replaced by ones with other experts.
  if (found != groups_.end() && found->second.counters != question.counters) {
    groups_.erase(found);
    found = groups_.end();
  }
  if (found == groups_.end()) {
    placement::PickWeightOptions work;
    work.read_work = question.read_work;
    // Marks of before a restart of this process must name no sum of now.
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

void RankRounds::Forget(TimePoint now) {
  std::erase_if(groups_, [now](const auto& item) {
    return now - item.second.asked_at > kForgotten;
  });
}

bool RankRounds::BeginReading(const GroupId& group, RankIndex rank) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return false;
  }
  Mark& mark = found->second.marks[rank];
  return !std::exchange(mark.is_asked, true);
}

std::optional<groups::RankWord> RankRounds::ReadRank(
    const GroupId& group,
    const groups::RankAddress& rank,
    TimePoint begun) {
  const auto endpoint = net::ParseEndpoint(rank.engine);
  if (!endpoint.has_value() || !BeginReading(group, rank.rank)) {
    return std::nullopt;
  }
  const EngineCalls::Answer answer = calls_.AskSidecar(
      *endpoint, ReadingRequest(groups_.at(group).marks.at(rank.rank).last),
      kReadingPatience);
  // It may have been forgotten meanwhile.
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return std::nullopt;
  }
  Mark& mark = found->second.marks[rank.rank];
  mark.is_asked = false;
  const auto reading = groups::DecodeReading(answer.body);
  if (!reading.has_value()) {
    return std::nullopt;
  }
  mark.last = reading->mark;
  if (reading->growth.has_value()) {
    found->second.sums.Add(*reading->growth);
  }
  return groups::RankWord{rank.rank, answer.as_of - begun, reading->report};
}

groups::RoundAnswer RankRounds::Read(const groups::RoundQuestion& question) {
  const TimePoint begun = SteadyNow();
  Forget(begun);
  GroupOf(question, begun);
  auto round = std::make_shared<Round>();
  round->begun = begun;
  round->missing = question.ranks.size();
  for (const groups::RankAddress& rank : question.ranks) {
    loop_.Spawn([this, round, group = question.group, rank] {
      if (auto word = ReadRank(group, rank, round->begun)) {
        round->words.push_back(*std::move(word));
      }
      --round->missing;
      round->changed.NotifyAll();
    });
  }
  while (round->missing > 0 &&
         round->changed.WaitUntil(begun + kRoundPatience)) {
  }
  Group& group = GroupOf(question, SteadyNow());
  groups::RoundAnswer answer;
  answer.domain = domain_;
  // A late one still adds to `round`, which nobody reads again.
  answer.words = std::move(round->words);
  answer.work = group.sums.Take(question.mark);
  answer.mark = group.sums.mark();
  return answer;
}

void RankRounds::Answer(net::HttpExchange& exchange) {
  const auto question = groups::DecodeQuestion(exchange.request().body);
  net::HttpResponseHead head;
  if (!question.has_value()) {
    head.status = net::status::kBadRequest;
    exchange.Respond(std::move(head), "not a question for a round\n");
    return;
  }
  exchange.Respond(std::move(head), groups::Encode(Read(*question)));
}

}  // namespace bilberryspool::control_node
