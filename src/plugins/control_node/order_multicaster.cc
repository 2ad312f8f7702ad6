#include "plugins/control_node/order_multicaster.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "libs/groups/order_guard.h"
#include "libs/groups/round_codec.h"
#include "libs/net/fiber_signal.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "libs/packing/packed_text.h"
#include "plugins/control_node/repeated_call.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

constexpr char kMulticastTarget[] = "/wide-order";
// Network time to a sidecar and back, including queueing in this process.
constexpr Duration kTransit = Milliseconds(40);
constexpr Duration kTimePerRank = Milliseconds(1);

// Number of ranks that a guarded order is in transit to at a time.
constexpr std::size_t kMaxGuardedAtOnce = 8;
// Longest time that an OrderGuard takes for one rank.
constexpr Duration kMaxGuardTime = Milliseconds(90);
// Time limit of a poll; its reply is of no use after kMaxGuardTime.
constexpr EngineCalls::CallTimeouts kPollTimeouts{Milliseconds(30),
                                                  Milliseconds(30)};

// Returns the request that all ranks get. A guarded order may have to be sent
// to an engine directly, which can't unpack it.
net::HttpRequest RequestToEngines(const groups::MulticastOrder& order) {
  net::HttpRequest request;
  request.method = order.method;
  request.target = order.target;
  if (!order.content_type.empty()) {
    request.headers.Add("Content-Type", order.content_type);
  }
  if (order.is_guarded) {
    request.body = packing::Unpack(order.body).value_or("");
    return request;
  }
  request.headers.Set(sidecar::kPackedField, "yes");
  request.body = order.body.value;
  return request;
}

Duration TransitTimeFor(const groups::MulticastOrder& order) {
  return kTransit +
         kTimePerRank * static_cast<Duration::rep>(order.ranks.size());
}

}  // namespace

bool OrderMulticaster::Handles(const net::HttpRequest& request) {
  return request.target == kMulticastTarget;
}

net::HttpRequest OrderMulticaster::RequestFor(
    const groups::MulticastOrder& order) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = kMulticastTarget;
  request.headers.Add("Content-Type", "application/octet-stream");
  request.body = groups::Encode(order);
  return request;
}

Duration OrderMulticaster::TimeoutFor(const groups::MulticastOrder& order) {
  return order.timeout + TransitTimeFor(order) +
         (order.is_guarded ? kMaxGuardTime : Duration::zero());
}

// One order on its way to several ranks.
struct OrderMulticaster::Multicasting {
  groups::MulticastOrder order;
  net::HttpRequest request;
  EngineCalls::CallTimeouts timeouts;
  std::size_t next = 0;
  groups::MulticastResult result;
  std::size_t missing = 0;
  // Longest time from an order to its answer.
  Duration longest_exchange{};
  net::FiberSignal changed;
};

groups::MulticastResult OrderMulticaster::Multicast(
    const groups::MulticastOrder& order) {
  const TimePoint begun = SteadyNow();
  auto state = std::make_shared<Multicasting>();
  state->order = order;
  state->request = RequestToEngines(order);
  state->timeouts = {order.timeout, TransitTimeFor(order), order.repeat_after};
  state->missing = order.ranks.size();
  state->result.statuses.resize(order.ranks.size());
  const std::size_t at_once =
      order.is_guarded ? std::min(kMaxGuardedAtOnce, order.ranks.size())
                       : order.ranks.size();
  for (std::size_t i = 0; i < at_once; ++i) {
    loop_.Spawn([this, state] { SendToNext(state); });
  }
  while (state->missing > 0) {
    state->changed.Wait();
  }
  if (order.is_guarded) {
    LogGuarded(*state, SteadyNow() - begun);
  }
  return state->result;
}

// A VM that freezes during such an exchange may stall its group.
void OrderMulticaster::LogGuarded(const Multicasting& state,
                                  Duration took) const {
  const auto& statuses = state.result.statuses;
  log_.Info("Sent an order to ranks that responded right before.",
            {{"ranks", statuses.size()},
             {"not_sent", std::count(statuses.begin(), statuses.end(),
                                     groups::MulticastResult::kNotSent)},
             {"unanswered", std::count(statuses.begin(), statuses.end(), 0U)},
             {"longest_exchange_us", state.longest_exchange.count()},
             {"after_us", took.count()}});
}

void OrderMulticaster::SendToNext(const std::shared_ptr<Multicasting>& state) {
  while (state->next < state->order.ranks.size()) {
    const std::size_t index = state->next++;
    const auto engine = net::ParseEndpoint(state->order.ranks[index].engine);
    if (engine.has_value()) {
      state->result.statuses[index] = state->order.is_guarded
                                          ? SendGuarded(*state, *engine)
                                          : SendTo(*state, *engine);
    }
    --state->missing;
    state->changed.NotifyAll();
  }
}

std::uint32_t OrderMulticaster::SendTo(const Multicasting& state,
                                       const net::Endpoint& engine) {
  return static_cast<std::uint32_t>(
      calls_.CallSidecar(engine, state.request, state.timeouts).status);
}

std::uint32_t OrderMulticaster::SendGuarded(Multicasting& state,
                                            const net::Endpoint& engine) {
  // Shared with polls that are answered after the order was sent.
  struct Polls {
    groups::OrderGuard guard;
    net::FiberSignal replied;
  };
  auto polls = std::make_shared<Polls>();
  while (true) {
    switch (polls->guard.Next(SteadyNow())) {
      case groups::OrderGuard::Step::kPoll:
        loop_.Spawn([this, polls, engine, polled_at = SteadyNow()] {
          if (calls_.IsResponding(engine, protocol_.report_request(),
                                  kPollTimeouts)) {
            polls->guard.OnReply(polled_at);
            polls->replied.NotifyAll();
          }
        });
        break;
      case groups::OrderGuard::Step::kWait:
        polls->replied.WaitUntil(polls->guard.wait_until());
        break;
      case groups::OrderGuard::Step::kSend: {
        const TimePoint sent = SteadyNow();
        const int status = SendRepeated(state, engine);
        state.longest_exchange =
            std::max(state.longest_exchange, SteadyNow() - sent);
        return static_cast<std::uint32_t>(status);
      }
      case groups::OrderGuard::Step::kGiveUp:
        return groups::MulticastResult::kNotSent;
    }
  }
}

int OrderMulticaster::SendRepeated(const Multicasting& state,
                                   const net::Endpoint& engine) {
  return CallRepeated(
      [this](std::function<void()> body) { loop_.Spawn(std::move(body)); },
      [this, engine, request = state.request, timeouts = state.timeouts] {
        return calls_.CallEngine(engine, request, timeouts).status;
      });
}

void OrderMulticaster::Answer(net::HttpExchange& exchange) {
  const auto order = groups::DecodeMulticastOrder(exchange.request().body);
  net::HttpResponseHead head;
  if (!order.has_value()) {
    head.status = net::status::kBadRequest;
    exchange.Respond(std::move(head), "not an order\n");
    return;
  }
  exchange.Respond(std::move(head), groups::Encode(Multicast(*order)));
}

}  // namespace bilberryspool::control_node
