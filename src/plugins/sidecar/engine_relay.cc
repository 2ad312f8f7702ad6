#include "plugins/sidecar/engine_relay.h"

#include <optional>
#include <utility>
#include <variant>

#include "libs/base/time.h"
#include "libs/net/http_status.h"
#include "libs/packing/packed_text.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {

namespace {

// Returns the body to send to the engine; nothing if it can't be unpacked.
std::optional<std::string> BodyOf(const net::HttpRequest& incoming) {
  return incoming.headers.Find(kPackedField).has_value()
             ? packing::Unpack({incoming.body})
             : incoming.body;
}

}  // namespace

EngineRelay::EngineRelay(net::NetworkLoop& loop)
    : client_(loop, net::HttpClientOptions{}) {}

std::string EngineRelay::Relay(net::HttpExchange& exchange,
                               const net::Endpoint& engine) {
  const net::HttpRequest& incoming = exchange.request();
  net::HttpResponseHead head;
  const auto body = BodyOf(incoming);
  if (!body.has_value()) {
    head.status = net::status::kBadRequest;
    exchange.Respond(std::move(head), "the body can't be unpacked\n");
    return "";
  }
  net::HttpRequest request;
  request.method = incoming.method;
  request.target = incoming.target;
  request.body = *body;
  if (const auto type = incoming.headers.Find("Content-Type")) {
    request.headers.Add("Content-Type", std::string(*type));
  }
  const auto result = client_.Send(engine, request, TimeoutOf(incoming));
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr) {
    client_.DropIdle(engine);
    head.status = net::status::kBadGateway;
    exchange.Respond(std::move(head), "");
    return std::get<net::HttpError>(result).text;
  }
  head.status = response->head.status;
  exchange.Respond(std::move(head), response->body);
  return "";
}

}  // namespace bilberryspool::sidecar
