#include "plugins/sidecar/engine_relay.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "libs/base/time.h"
#include "libs/net/http_status.h"
#include "libs/net/repeated_call.h"
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
    : loop_(loop), client_(loop, net::OptionsForReports()) {}

net::HttpClient::SendResult EngineRelay::Send(const net::Endpoint& engine,
                                              const net::HttpRequest& request,
                                              Duration timeout) {
  auto result = client_.Send(engine, request, timeout);
  if (std::holds_alternative<net::HttpError>(result)) {
    client_.DropIdle(engine);
  }
  return result;
}

// An engine takes up to 20 ms for one request in 25, and answers another one
// meanwhile. The first answer counts.
net::HttpClient::SendResult EngineRelay::SendRepeated(
    const net::Endpoint& engine,
    const net::HttpRequest& request,
    Duration timeout,
    Duration repeat_after) {
  struct Outcome {
    std::optional<net::HttpClient::SendResult> result;
  };
  auto outcome = std::make_shared<Outcome>();
  net::CallRepeated(
      [this](std::function<void()> body) { loop_.Spawn(std::move(body)); },
      [this, outcome, engine, request, timeout] {
        auto result = Send(engine, request, timeout);
        const auto* response = std::get_if<net::HttpResponse>(&result);
        const int status = response == nullptr ? 0 : response->head.status;
        const bool has_answer =
            outcome->result.has_value() &&
            std::holds_alternative<net::HttpResponse>(*outcome->result);
        if (!has_answer) {
          outcome->result = std::move(result);
        }
        return status;
      },
      repeat_after);
  return *outcome->result;
}

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
  const Duration timeout = TimeoutOf(incoming);
  const auto repeat_after = RepeatTimeOf(incoming);
  const auto result =
      repeat_after.has_value()
          ? SendRepeated(engine, request, timeout, *repeat_after)
          : Send(engine, request, timeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr) {
    head.status = net::status::kBadGateway;
    exchange.Respond(std::move(head), "");
    return std::get<net::HttpError>(result).text;
  }
  head.status = response->head.status;
  exchange.Respond(std::move(head), response->body);
  return "";
}

}  // namespace bilberryspool::sidecar
