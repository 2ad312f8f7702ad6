#include "plugins/operators/operators_server.h"

#include <charconv>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "libs/language/rendering.h"
#include "libs/net/connection_registry.h"
#include "libs/net/http_server.h"
#include "libs/net/http_status.h"
#include "libs/net/link_authenticator.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/telemetry/log.h"
#include "plugins/control/operator_control.h"
#include "plugins/operators/applied_index.h"
#include "plugins/operators/command_ids.h"
#include "plugins/operators/operator_credential.h"
#include "plugins/operators/operator_headers.h"
#include "plugins/operators/statement_runner.h"
#include "plugins/operators/status_json.h"

namespace bilberryspool::operators {

using control::ControlFailureKind;
using language::AnswerStatus;

namespace {

constexpr std::size_t kMaxBodyBytes = 128UL * 1024;
constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxLoggedBytes = 512;

struct LogLevelWord {
  std::string_view word;
  telemetry::LogLevel level;
};

constexpr LogLevelWord kLogLevels[] = {{"debug", telemetry::LogLevel::kDebug},
                                       {"info", telemetry::LogLevel::kInfo},
                                       {"warn", telemetry::LogLevel::kWarn},
                                       {"error", telemetry::LogLevel::kError}};

int HttpStatusOf(const StatementResult& result) {
  if (result.failure.has_value()) {
    switch (*result.failure) {
      case ControlFailureKind::kNoLeader:
        return net::status::kUnavailable;
      case ControlFailureKind::kBusy:
        return net::status::kTooManyRequests;
      case ControlFailureKind::kUnknown:
        return net::status::kGatewayTimeout;
    }
  }
  switch (result.answer.status) {
    case AnswerStatus::kDone:
      return net::status::kOk;
    case AnswerStatus::kRefused:
      return net::status::kConflict;
    case AnswerStatus::kInvalid:
      return net::status::kBadRequest;
    case AnswerStatus::kUnknown:
      return net::status::kGatewayTimeout;
  }
  return net::status::kGatewayTimeout;
}

void RespondText(net::HttpExchange& exchange, int status, std::string text) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain; charset=utf-8");
  if (status == net::status::kUnauthorized) {
    head.headers.Add("WWW-Authenticate", "Bearer");
  }
  exchange.Respond(std::move(head), text + "\n");
}

// Reads an optional field; returns false if it is present but not a number.
template <typename Id>
bool ReadNumber(const net::HttpHeaders& headers,
                std::string_view name,
                std::optional<Id>& value) {
  const auto text = headers.Find(name);
  if (!text.has_value()) {
    return true;
  }
  std::uint64_t number = 0;
  const char* end = text->data() + text->size();
  const auto read = std::from_chars(text->data(), end, number);
  value = Id(number);
  return read.ec == std::errc() && read.ptr == end;
}

bool WantsJson(const net::HttpRequest& request) {
  return request.headers.ValueOr("Accept", "").find(kJsonType) !=
         std::string_view::npos;
}

}  // namespace

struct OperatorsServer::Private {
  Private(net::NetworkLoop& network_loop,
          const settings::EntrySettings& entry_settings,
          control::OperatorControl& operator_control)
      : loop(network_loop),
        settings(entry_settings),
        control(operator_control),
        runner(control,
               {net::SteadyNow,
                [this](Duration duration) { loop.SleepFor(duration); },
                MakeCommandId}) {}

  net::HttpServerOptions MakeOptions() const;
  void Handle(net::HttpExchange& exchange);
  void HandleStatement(net::HttpExchange& exchange);
  void HandleLogLevel(net::HttpExchange& exchange);
  void HandleStatus(net::HttpExchange& exchange);
  void Respond(net::HttpExchange& exchange, const StatementResult& result);
  void LogStatement(const StatementRequest& request,
                    const StatementResult& result);

  net::NetworkLoop& loop;
  const settings::EntrySettings& settings;
  control::OperatorControl& control;
  StatementRunner runner;
  telemetry::Logger log{"operators"};
  std::optional<OperatorCredential> credential;
  std::unique_ptr<net::HttpServer> server;
};

net::HttpServerOptions OperatorsServer::Private::MakeOptions() const {
  net::HttpServerOptions options;
  options.listen = {settings.operators_listen.ip,
                    settings.operators_listen.port};
  options.max_body_bytes = kMaxBodyBytes;
  net::ConnectionBudgetOptions budget;
  budget.max_connections = kMaxConnections;
  options.registry = std::make_shared<net::ConnectionRegistry>(budget);
  return options;
}

void OperatorsServer::Private::Handle(net::HttpExchange& exchange) {
  struct Route {
    std::string_view path;
    std::string_view method;
    void (Private::*handler)(net::HttpExchange&);
  };
  const Route routes[] = {{"/statement", "POST", &Private::HandleStatement},
                          {"/log-level", "POST", &Private::HandleLogLevel},
                          {"/status", "GET", &Private::HandleStatus}};
  if (!credential->Authorizes(exchange.request())) {
    log.Warn("Refused an operator's request without the credential.",
             {{"peer", exchange.peer_address()}});
    RespondText(exchange, net::status::kUnauthorized,
                "the operators' credential is missing or wrong: "
                "send Authorization: Bearer CREDENTIAL");
    return;
  }
  for (const Route& route : routes) {
    if (exchange.request().target != route.path) {
      continue;
    }
    if (exchange.request().method != route.method) {
      RespondText(exchange, net::status::kMethodNotAllowed,
                  "use " + std::string(route.method));
      return;
    }
    (this->*route.handler)(exchange);
    return;
  }
  RespondText(exchange, net::status::kNotFound,
              "there are POST /statement, POST /log-level and GET /status");
}

void OperatorsServer::Private::HandleStatement(net::HttpExchange& exchange) {
  const net::HttpHeaders& headers = exchange.request().headers;
  StatementRequest request;
  request.text = exchange.request().body;
  request.operator_id =
      config::OperatorId(std::string(headers.ValueOr(kOperatorHeader, "")));
  if (const auto id = headers.Find(kCommandIdHeader)) {
    request.command_id = CommandId(std::string(*id));
  }
  if (!ReadNumber(headers, kReadVersionHeader, request.read_version) ||
      !ReadNumber(headers, kIssuedAfterHeader, request.issued_after)) {
    RespondText(exchange, net::status::kBadRequest,
                std::string(kReadVersionHeader) + " and " +
                    std::string(kIssuedAfterHeader) + " are numbers");
    return;
  }
  const auto caller_disconnected = std::make_shared<bool>(false);
  exchange.NotifyOnDisconnect(
      [caller_disconnected] { *caller_disconnected = true; });
  request.is_abandoned = [caller_disconnected] { return *caller_disconnected; };
  const StatementResult result = runner.Run(request);
  LogStatement(request, result);
  Respond(exchange, result);
}

// Logs who changed what; statements that change nothing are logged at debug
// level only.
void OperatorsServer::Private::LogStatement(const StatementRequest& request,
                                            const StatementResult& result) {
  const std::string text = request.text.substr(0, kMaxLoggedBytes);
  const std::string answer =
      result.answer.notes.empty() ? "" : result.answer.notes.front();
  if (!result.command_id.has_value()) {
    log.Debug("Answered a statement.",
              {{"operator", request.operator_id.value()}, {"statement", text}});
    return;
  }
  log.Info("Answered a change.", {{"operator", request.operator_id.value()},
                                  {"command", result.command_id->value()},
                                  {"statement", text},
                                  {"answer", answer}});
}

void OperatorsServer::Private::Respond(net::HttpExchange& exchange,
                                       const StatementResult& result) {
  const bool json = WantsJson(exchange.request());
  net::HttpResponseHead head;
  head.status = HttpStatusOf(result);
  head.headers.Add("Content-Type",
                   json ? std::string(kJsonType) : "text/plain; charset=utf-8");
  if (result.command_id.has_value()) {
    head.headers.Add(std::string(kCommandIdHeader), result.command_id->value());
  }
  if (head.status == net::status::kTooManyRequests ||
      head.status == net::status::kUnavailable) {
    head.headers.Add("Retry-After", "1");
  }
  head.headers.Add(std::string(kVersionHeader),
                   std::to_string(control.configuration().version().value()));
  if (const auto applied = AppliedIndex(control, net::SteadyNow())) {
    head.headers.Add(std::string(kAppliedIndexHeader),
                     std::to_string(applied->value()));
  }
  exchange.Respond(std::move(head), json ? language::RenderJson(result.answer)
                                         : language::RenderText(result.answer));
}

void OperatorsServer::Private::HandleLogLevel(net::HttpExchange& exchange) {
  std::string_view word = exchange.request().body;
  while (!word.empty() && (word.back() == '\n' || word.back() == '\r')) {
    word.remove_suffix(1);
  }
  for (const LogLevelWord& known : kLogLevels) {
    if (known.word != word) {
      continue;
    }
    telemetry::SetLogLevel(known.level);
    log.Warn("Log level set.", {{"level", word}});
    RespondText(exchange, net::status::kOk, "log level " + std::string(word));
    return;
  }
  RespondText(exchange, net::status::kBadRequest,
              "the levels are debug, info, warn and error");
}

void OperatorsServer::Private::HandleStatus(net::HttpExchange& exchange) {
  net::HttpResponseHead head;
  head.headers.Add("Content-Type", std::string(kJsonType));
  exchange.Respond(std::move(head), StatusJson(control, net::SteadyNow()));
}

OperatorsServer::OperatorsServer(net::NetworkLoop& loop,
                                 const settings::EntrySettings& settings,
                                 control::OperatorControl& control)
    : d_(std::make_unique<Private>(loop, settings, control)) {}

OperatorsServer::~OperatorsServer() = default;

std::string OperatorsServer::Start() {
  const auto secret = net::ReadKeyFile(d_->settings.operators_credential_file);
  if (!secret.has_value()) {
    return "can't read a credential of at least " +
           std::to_string(net::LinkAuthenticator::kMinKeyBytes) +
           " bytes from " + d_->settings.operators_credential_file;
  }
  d_->credential.emplace(*secret);
  d_->server = std::make_unique<net::HttpServer>(
      d_->loop, d_->MakeOptions(),
      [d = d_.get()](net::HttpExchange& exchange) { d->Handle(exchange); });
  std::string error = d_->server->Start();
  if (error.empty()) {
    d_->log.Info("Started.",
                 {{"listen", d_->settings.operators_listen.ToString()}});
  }
  return error;
}

void OperatorsServer::Drain() {
  if (d_->server != nullptr) {
    d_->server->Drain();
  }
}

std::uint16_t OperatorsServer::port() const {
  return d_->server->port();
}

}  // namespace bilberryspool::operators
