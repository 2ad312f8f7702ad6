#include "plugins/sidecar/engine_relay.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <variant>

#include "libs/base/time.h"
#include "libs/net/http_status.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {

namespace {

// Where the asker names none; it is not taken for more either.
constexpr Duration kEnginePatience = Milliseconds(400);

Duration PatienceOf(const net::HttpRequest& asked) {
  const std::string_view text = asked.headers.ValueOr(kPatienceField, "");
  std::int64_t ms = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (parsed.ec != std::errc() || ms <= 0) {
    return kEnginePatience;
  }
  return std::min(Milliseconds(ms), kEnginePatience);
}

}  // namespace

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
