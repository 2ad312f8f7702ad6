#include "tools/standin/standin_server.h"

#include <boost/json.hpp>

#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::standin {

namespace json = boost::json;
using net::HttpExchange;

namespace {

constexpr Duration kPollInterval = Milliseconds(2);
constexpr std::int64_t kDefaultTokens = 16;

// A completion request, as read from headers and body.
struct CompletionRequest {
  RequestId request;
  std::string prompt;
  std::int64_t tokens = kDefaultTokens;
  std::int64_t offset = 0;
  bool is_stream = false;
};

json::object ParseObject(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return {};
  }
  return std::move(value.as_object());
}

CompletionRequest ReadCompletionRequest(const net::HttpRequest& request) {
  const json::object body = ParseObject(request.body);
  CompletionRequest completion;
  completion.request =
      RequestId(std::string(request.headers.ValueOr("X-Request-Id", "")));
  if (const auto* prompt = body.if_contains("prompt")) {
    completion.prompt = prompt->is_string() ? std::string(prompt->as_string())
                                            : json::serialize(*prompt);
  }
  if (const auto* messages = body.if_contains("messages")) {
    completion.prompt = json::serialize(*messages);
  }
  if (const auto* tokens = body.if_contains("max_tokens")) {
    completion.tokens =
        tokens->is_int64() ? tokens->as_int64() : kDefaultTokens;
  }
  if (const auto* stream = body.if_contains("stream")) {
    completion.is_stream = stream->is_bool() && stream->as_bool();
  }
  const auto offset = request.headers.ValueOr("X-Resume-Offset", "0");
  completion.offset = std::strtoll(std::string(offset).c_str(), nullptr, 10);
  return completion;
}

void RespondJson(HttpExchange& exchange, int status, const json::value& body) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "application/json");
  exchange.Respond(std::move(head), json::serialize(body));
}

std::string FormatEvent(const std::string& token, std::uint64_t position) {
  const json::object choice{{"index", 0}, {"text", token}};
  const json::object event{{"object", "text_completion"},
                           {"position", position},
                           {"choices", json::array{choice}}};
  return "data: " + json::serialize(event) + "\n\n";
}

}  // namespace

struct StandinServer::Private {
  Private(net::NetworkLoop& network_loop,
          const net::Endpoint& listen,
          EngineOptions engine_options,
          LockstepOptions lockstep_options)
      : loop(network_loop),
        model(std::move(engine_options)),
        lockstep(loop, model, lockstep_options) {
    net::HttpServerOptions options;
    options.listen = listen;
    server = std::make_unique<net::HttpServer>(
        loop, options, [this](HttpExchange& exchange) { Handle(exchange); });
  }

  void Handle(HttpExchange& exchange);
  void HandleCompletion(HttpExchange& exchange);
  void StreamCompletion(HttpExchange& exchange,
                        const CompletionRequest& completion,
                        const bool& is_caller_gone);
  void SendCompletion(HttpExchange& exchange,
                      const CompletionRequest& completion,
                      const bool& is_caller_gone);
  void HandlePlainCall(HttpExchange& exchange);
  void HandleOrder(HttpExchange& exchange);
  void Refuse(HttpExchange& exchange);
  void HandleQuery(HttpExchange& exchange, const std::string& target);
  // These return false if the caller disconnected meanwhile.
  bool Wait(Duration duration, const bool& is_caller_gone);
  bool WaitForSlot(const bool& is_caller_gone);

  net::NetworkLoop& loop;
  EngineModel model;
  LockstepEngine lockstep;
  // The Retry-After of all refusals; empty while it serves.
  std::string retry_after;
  std::uint64_t refusals = 0;
  std::unique_ptr<net::HttpServer> server;
};

bool StandinServer::Private::Wait(Duration duration,
                                  const bool& is_caller_gone) {
  loop.SleepFor(duration);
  while (model.is_stalled() && !is_caller_gone) {
    loop.SleepFor(kPollInterval);
  }
  return !is_caller_gone;
}

bool StandinServer::Private::WaitForSlot(const bool& is_caller_gone) {
  model.Enqueue();
  while (!model.has_free_slot() && !is_caller_gone) {
    loop.SleepFor(kPollInterval);
  }
  model.Dequeue();
  if (is_caller_gone) {
    return false;
  }
  model.TakeSlot();
  return true;
}

void StandinServer::Private::Handle(HttpExchange& exchange) {
  constexpr std::string_view kRefusePrefix = "/refuse/";
  const std::string target = exchange.request().target;
  const bool is_completion =
      target == "/v1/completions" || target == "/v1/chat/completions";
  if (is_completion && !retry_after.empty()) {
    Refuse(exchange);
    return;
  }
  if (is_completion) {
    HandleCompletion(exchange);
    return;
  }
  if (target == "/v1/orders") {
    HandleOrder(exchange);
    return;
  }
  if (target == "/stall" || target == "/resume") {
    model.set_stalled(target == "/stall");
    RespondJson(exchange, 200, json::object{{"stalled", model.is_stalled()}});
    return;
  }
  if (target.starts_with(kRefusePrefix)) {
    retry_after = target.substr(kRefusePrefix.size());
    RespondJson(exchange, 200, json::object{{"retry_after", retry_after}});
    return;
  }
  if (lockstep.Handle(exchange)) {
    return;
  }
  if (exchange.request().method == "GET") {
    HandleQuery(exchange, target);
    return;
  }
  if (!retry_after.empty()) {
    Refuse(exchange);
    return;
  }
  HandlePlainCall(exchange);
}

void StandinServer::Private::Refuse(HttpExchange& exchange) {
  ++refusals;
  net::HttpResponseHead head;
  head.status = 503;
  head.headers.Add("Retry-After", retry_after);
  exchange.Respond(std::move(head), "refused\n");
}

void StandinServer::Private::HandleQuery(HttpExchange& exchange,
                                         const std::string& target) {
  constexpr std::string_view kWitnessPrefix = "/witness/";
  if (target == "/load") {
    const LoadReport load = model.ReportedLoad(net::SteadyNow());
    RespondJson(exchange, 200,
                json::object{{"running", load.running},
                             {"queued", load.queued},
                             {"slots", load.slots},
                             {"tokens", load.tokens},
                             {"experts", lockstep.ExpertTotals()}});
    return;
  }
  if (target == "/refusals") {
    RespondJson(exchange, 200, json::object{{"refusals", refusals}});
    return;
  }
  if (target == "/witness") {
    json::object runs;
    for (const auto& [request, count] : model.all_runs()) {
      runs[request.value()] = count;
    }
    RespondJson(exchange, 200, runs);
    return;
  }
  if (target.starts_with(kWitnessPrefix)) {
    const RequestId request(target.substr(kWitnessPrefix.size()));
    RespondJson(exchange, 200, json::object{{"runs", model.runs(request)}});
    return;
  }
  const bool is_health = target == "/health";
  RespondJson(exchange, is_health ? 200 : 404, json::object{{"ok", is_health}});
}

void StandinServer::Private::HandleCompletion(HttpExchange& exchange) {
  const CompletionRequest completion =
      ReadCompletionRequest(exchange.request());
  // Shared with the callback, which may outlive this call.
  auto is_caller_gone = std::make_shared<bool>(false);
  exchange.NotifyOnDisconnect([is_caller_gone] { *is_caller_gone = true; });
  if (!WaitForSlot(*is_caller_gone)) {
    return;
  }
  model.RecordRun(completion.request);
  const bool is_cached = model.TouchPrefix(completion.prompt);
  if (Wait(model.FirstTokenDelay(is_cached), *is_caller_gone)) {
    if (completion.is_stream) {
      StreamCompletion(exchange, completion, *is_caller_gone);
    } else {
      SendCompletion(exchange, completion, *is_caller_gone);
    }
  }
  model.FreeSlot();
}

void StandinServer::Private::StreamCompletion(
    HttpExchange& exchange,
    const CompletionRequest& completion,
    const bool& is_caller_gone) {
  net::HttpResponseHead head;
  head.headers.Add("Content-Type", "text/event-stream");
  if (!exchange.BeginStream(std::move(head))) {
    return;
  }
  for (std::int64_t i = completion.offset; i < completion.tokens; ++i) {
    const auto position = static_cast<std::uint64_t>(i);
    const std::string token = TokenAt(completion.prompt, position);
    model.CountToken();
    if (!exchange.WritePiece(FormatEvent(token, position)) ||
        !Wait(model.TokenDelay(), is_caller_gone)) {
      exchange.AbortStream();
      return;
    }
  }
  exchange.WritePiece("data: [DONE]\n\n");
  exchange.EndStream();
}

void StandinServer::Private::SendCompletion(HttpExchange& exchange,
                                            const CompletionRequest& completion,
                                            const bool& is_caller_gone) {
  std::string text;
  for (std::int64_t i = completion.offset; i < completion.tokens; ++i) {
    text += TokenAt(completion.prompt, static_cast<std::uint64_t>(i));
    model.CountToken();
    if (!Wait(model.TokenDelay(), is_caller_gone)) {
      return;
    }
  }
  const json::object choice{
      {"index", 0}, {"text", text}, {"finish_reason", "length"}};
  RespondJson(exchange, 200,
              json::object{{"id", completion.request.value()},
                           {"object", "text_completion"},
                           {"model", model.options().model},
                           {"choices", json::array{choice}}});
}

void StandinServer::Private::HandlePlainCall(HttpExchange& exchange) {
  auto is_caller_gone = std::make_shared<bool>(false);
  exchange.NotifyOnDisconnect([is_caller_gone] { *is_caller_gone = true; });
  if (!WaitForSlot(*is_caller_gone)) {
    return;
  }
  const RequestId request(
      std::string(exchange.request().headers.ValueOr("X-Request-Id", "")));
  model.RecordRun(request);
  if (Wait(model.options().first_token, *is_caller_gone)) {
    RespondJson(exchange, 200,
                json::object{{"id", request.value()},
                             {"runs", model.runs(request)},
                             {"echo", exchange.request().body}});
  }
  model.FreeSlot();
}

void StandinServer::Private::HandleOrder(HttpExchange& exchange) {
  const json::object body = ParseObject(exchange.request().body);
  const auto* fencing = body.if_contains("fencing");
  const bool is_number = fencing != nullptr && fencing->is_int64();
  const FencingToken token(
      is_number ? static_cast<std::uint64_t>(fencing->as_int64()) : 0);
  const bool is_accepted = model.AcceptOrder(token);
  RespondJson(exchange, is_accepted ? 200 : 409,
              json::object{{"accepted", is_accepted}});
}

StandinServer::StandinServer(net::NetworkLoop& loop,
                             net::Endpoint listen,
                             EngineOptions options,
                             LockstepOptions lockstep)
    : d_(std::make_unique<Private>(loop,
                                   listen,
                                   std::move(options),
                                   lockstep)) {}
StandinServer::~StandinServer() = default;

std::string StandinServer::Start() {
  return d_->server->Start();
}

void StandinServer::Drain() {
  d_->server->Drain();
}

std::uint16_t StandinServer::port() const {
  return d_->server->port();
}

EngineModel& StandinServer::model() {
  return d_->model;
}

}  // namespace bilberryspool::standin
