// GroupTask: sends orders to the ranks.

#include <set>
#include <utility>

#include "libs/groups/round_codec.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "libs/packing/packed_text.h"
#include "plugins/control_node/group_task.h"
#include "plugins/control_node/repeated_call.h"
#include "plugins/control_node/silent_orders.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// Orders are answered immediately, and the group may be stalled until the last
// one is answered, so a lost order must be repeated soon. An engine answers its
// sidecar within a few milliseconds. Sending an order to all ranks takes up to
// 1 ms each on 0.15 of a core, and a map takes longer to send and to read.
constexpr Duration kOrderTimeout = Milliseconds(25);
constexpr Duration kOrderTransit = Milliseconds(40);
constexpr Duration kMapTransit = Milliseconds(80);
constexpr Duration kOrderTimePerRank = Milliseconds(1);

// When a sidecar repeats an order to arm. Engines answer most orders within
// 3 ms; a VM that freezes before its answer stalls the group.
constexpr Duration kArmRepeatAfter = Milliseconds(2);

// Groups of up to this size are always guarded.
constexpr std::uint32_t kMaxGuardedGroup = 16;
// Maximum number of ranks of a larger group to which one node sends guarded
// orders. On 0.15 of a core, arming took twice as long with 24 ranks, and with
// 48 replies came too late and most changes were given up.
constexpr std::size_t kMaxGuardedRanks = 8;

// Whether the order must not be sent to a rank whose VM is frozen: if a rank
// may be armed and does not answer, the group is stalled until it does.
bool IsGuarded(const groups::EngineOrder& order) {
  return std::holds_alternative<groups::ArmMap>(order);
}

}  // namespace

EngineCalls::CallTimeouts GroupTask::TimeoutFor(
    const groups::EngineOrder& order) const {
  const bool has_map = std::holds_alternative<groups::PrepareMap>(order);
  return {kOrderTimeout,
          (has_map ? kMapTransit : kOrderTransit) + kOrderTimePerRank * ranks_};
}

void GroupTask::SendOrder(const groups::RankOrder& order) {
  Spawn([this, order] {
    // A suspended node may have been replaced as the leader in the meantime. If
    // it still leads, the order is sent later.
    if (!may_act_()) {
      switch_.OnAnswer(order, groups::OrderAnswer::kUnanswered, SteadyNow());
      return;
    }
    const net::HttpRequest request = protocol_.order_request(order, ranks_);
    const net::Endpoint& engine = addresses_.at(order.rank);
    OnAnswer(order, Send(order.order, engine, request));
    Advance();
  });
}

int GroupTask::Send(const groups::EngineOrder& order,
                    const net::Endpoint& engine,
                    const net::HttpRequest& request) {
  if (std::holds_alternative<groups::HoldStep>(order)) {
    return SendHoldOrder(engine, request);
  }
  if (std::holds_alternative<groups::ReleaseStep>(order)) {
    return SendRelease(engine, request);
  }
  return calls_.CallEngine(engine, request, TimeoutFor(order)).status;
}

void GroupTask::OnAnswer(const groups::RankOrder& order, int status) {
  switch_.OnAnswer(order, ReadAnswer(status), SteadyNow());
}

groups::OrderAnswer GroupTask::ReadAnswer(int status) const {
  switch (status) {
    case 0:
      return groups::OrderAnswer::kUnanswered;
    case groups::MulticastResult::kNotSent:
      return groups::OrderAnswer::kNotSent;
    default:
      return protocol_.read_answer(status);
  }
}

// Orders to prepare and to arm may reach a rank late without harm, so they may
// go through a node that freezes meanwhile; an order that is not answered in
// time is repeated on another path. Orders about a hold are sent individually.
std::vector<groups::RankOrder> GroupTask::SendMulticast(
    std::vector<groups::RankOrder> orders,
    TimePoint now) {
  if (orders.empty() ||
      (orders.size() <= kMaxDirectCalls && !IsGuarded(orders.front().order))) {
    return orders;
  }
  const groups::RankOrder first = orders.front();
  std::vector<RankIndex> ranks;
  for (const groups::RankOrder& order : orders) {
    if (groups::SameOrder(order.order, first.order)) {
      ranks.push_back(order.rank);
    }
  }
  const groups::MulticastOrder whole = MulticastOrderOf(first);
  std::set<RankIndex> sent;
  const bool is_leader_sharing =
      IsGuarded(first.order) && ranks_ <= kMaxGuardedGroup;
  for (const PollingRound& part : is_leader_sharing
                                      ? schedule_.SplitWithLeader(ranks, now)
                                      : schedule_.SplitByReader(ranks, now)) {
    groups::MulticastOrder multicast = whole;
    multicast.is_guarded =
        IsGuarded(first.order) &&
        (ranks_ <= kMaxGuardedGroup || part.ranks.size() <= kMaxGuardedRanks);
    if (!part.reader.has_value() && !multicast.is_guarded) {
      continue;
    }
    SendMulticastPart(part, first, std::move(multicast));
    sent.insert(part.ranks.begin(), part.ranks.end());
  }
  std::erase_if(orders, [&](const groups::RankOrder& order) {
    return sent.contains(order.rank);
  });
  return orders;
}

// Returns the order without its ranks.
groups::MulticastOrder GroupTask::MulticastOrderOf(
    const groups::RankOrder& order) const {
  const net::HttpRequest request = protocol_.order_request(order, ranks_);
  groups::MulticastOrder multicast;
  multicast.timeout = kOrderTimeout;
  if (IsGuarded(order.order)) {
    multicast.repeat_after = kArmRepeatAfter;
  }
  multicast.method = request.method;
  multicast.target = request.target;
  multicast.content_type = request.headers.ValueOr("Content-Type", "");
  multicast.body = packing::Pack(request.body);
  return multicast;
}

void GroupTask::SendMulticastPart(const PollingRound& part,
                                  const groups::RankOrder& order,
                                  groups::MulticastOrder multicast) {
  for (const RankIndex rank : part.ranks) {
    multicast.ranks.push_back({rank, addresses_.at(rank).ToString()});
  }
  Spawn([this, part, order, multicast = std::move(multicast)] {
    if (!may_act_()) {
      // As in SendOrder(). The next tick sends the order, if this node still
      // leads; advancing would send it again at once, without a wait.
      OnAnswers(part, order, std::nullopt);
      return;
    }
    const TimePoint asked = SteadyNow();
    auto answer = RequestAnswer(part, multicast);
    if (!answer.has_value() && part.reader.has_value() &&
        !silence_.WasLateSince(asked, SteadyNow())) {
      schedule_.StartCooldown(*part.reader, SteadyNow());
    }
    if (answer.has_value() && part.reader.has_value()) {
      SendToSilent(*part.reader, multicast, *answer);
    }
    OnAnswers(part, order, answer);
    Advance();
  });
}

void GroupTask::OnAnswers(
    const PollingRound& part,
    const groups::RankOrder& order,
    const std::optional<groups::MulticastResult>& result) {
  groups::RankOrder one = order;
  for (std::size_t i = 0; i < part.ranks.size(); ++i) {
    const bool has_status = result.has_value() && i < result->statuses.size();
    one.rank = part.ranks[i];
    OnAnswer(one, has_status ? static_cast<int>(result->statuses[i]) : 0);
  }
}

void GroupTask::SendToSilent(const net::Endpoint& reader,
                             const groups::MulticastOrder& multicast,
                             groups::MulticastResult& result) {
  const groups::MulticastOrder rest = OrderForSilent(multicast, result);
  if (rest.ranks.empty() || rest.ranks.size() > kMaxDirectCalls ||
      !may_act_()) {
    return;
  }
  log_.Info("Sending an order where its reader could not.",
            {{"reader", reader.ToString()}, {"ranks", rest.ranks.size()}});
  MergeSilent(multicaster_.Multicast(rest), result);
}

std::optional<groups::MulticastResult> GroupTask::RequestAnswer(
    const PollingRound& part,
    const groups::MulticastOrder& multicast) {
  if (!part.reader.has_value()) {
    return multicaster_.Multicast(multicast);
  }
  const EngineCalls::Answer answer =
      calls_.CallNode(*part.reader, OrderMulticaster::RequestFor(multicast),
                      OrderMulticaster::TimeoutFor(multicast) + kOrderTransit);
  return answer.status == net::status::kOk
             ? groups::DecodeMulticastResult(answer.body)
             : std::nullopt;
}

int GroupTask::SendHoldOrder(const net::Endpoint& engine,
                             const net::HttpRequest& request) {
  constexpr EngineCalls::CallTimeouts kTimeouts{kOrderTimeout, kOrderTransit};
  const auto helper = helpers_.Next();
  if (!helper.has_value()) {
    return calls_.CallEngine(engine, request, kTimeouts).status;
  }
  const EngineCalls::Answer answer =
      calls_.CallThroughNode(*helper, engine, request, kTimeouts);
  const RelayResult result = ClassifyRelayStatus(answer.status);
  helpers_.OnRelayed(*helper, result);
  if (result == RelayResult::kHelperFailed) {
    log_.Info("An order about a hold goes by way of another node.",
              {{"failed", helper->ToString()}, {"status", answer.status}});
  }
  return result == RelayResult::kAnswered ? answer.status : 0;
}

// The group is stalled until the release arrives. Two copies of it do no harm,
// as no step is held twice.
int GroupTask::SendRelease(const net::Endpoint& engine,
                           const net::HttpRequest& request) {
  return CallRepeated(
      [this](std::function<void()> body) { Spawn(std::move(body)); },
      [this, engine, request] { return SendHoldOrder(engine, request); });
}

}  // namespace bilberryspool::control_node
