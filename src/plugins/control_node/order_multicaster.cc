#include "plugins/control_node/order_multicaster.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "libs/groups/round_codec.h"
#include "libs/net/fiber_signal.h"
#include "libs/net/http_status.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {

namespace {

constexpr char kMulticastTarget[] = "/wide-order";
// Network time to a sidecar and back, including queueing in this process.
constexpr Duration kTransit = Milliseconds(40);
constexpr Duration kTimePerRank = Milliseconds(1);

// Returns the request that all ranks get.
net::HttpRequest RequestToEngines(const groups::MulticastOrder& order) {
  net::HttpRequest request;
  request.method = order.method;
  request.target = order.target;
  if (!order.content_type.empty()) {
    request.headers.Add("Content-Type", order.content_type);
  }
  request.headers.Set(sidecar::kPackedField, "yes");
  request.body = order.body.value;
  return request;
}

struct Replies {
  groups::MulticastResult answer;
  std::size_t missing = 0;
  net::FiberSignal changed;
};

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
  return order.timeout + kTransit +
         kTimePerRank * static_cast<Duration::rep>(order.ranks.size());
}

groups::MulticastResult OrderMulticaster::Multicast(
    const groups::MulticastOrder& order) {
  const auto request =
      std::make_shared<const net::HttpRequest>(RequestToEngines(order));
  const EngineCalls::CallTimeouts timeout{order.timeout,
                                          TimeoutFor(order) - order.timeout};
  auto replies = std::make_shared<Replies>();
  replies->missing = order.ranks.size();
  replies->answer.statuses.resize(order.ranks.size());
  for (std::size_t i = 0; i < order.ranks.size(); ++i) {
    loop_.Spawn([this, request, timeout, replies, i,
                 engine = net::ParseEndpoint(order.ranks[i].engine)] {
      if (engine.has_value()) {
        const EngineCalls::Answer answer =
            calls_.CallSidecar(*engine, *request, timeout);
        replies->answer.statuses[i] = static_cast<std::uint32_t>(answer.status);
      }
      --replies->missing;
      replies->changed.NotifyAll();
    });
  }
  while (replies->missing > 0) {
    replies->changed.Wait();
  }
  return replies->answer;
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
