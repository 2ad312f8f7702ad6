#include "plugins/sidecar/engine_relay.h"

#include <utility>
#include <variant>

#include "libs/base/time.h"
#include "libs/net/http_status.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {

EngineRelay::EngineRelay(net::NetworkLoop& loop)
    : client_(loop, net::HttpClientOptions{}) {}

std::string EngineRelay::Relay(net::HttpExchange& exchange,
                               const net::Endpoint& engine) {
  const net::HttpRequest& asked = exchange.request();
  net::HttpRequest request;
  request.method = asked.method;
  request.target = asked.target;
  request.body = asked.body;
  if (const auto type = asked.headers.Find("Content-Type")) {
    request.headers.Add("Content-Type", std::string(*type));
  }
  const auto result = client_.Send(engine, request, PatienceOf(asked));
  net::HttpResponseHead head;
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
