#include "plugins/agent/attempt_service.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/attempts/messages_json.h"
#include "libs/base/overloaded.h"
#include "libs/links/link_headers.h"
#include "libs/net/cancellation.h"
#include "libs/net/http_status.h"
#include "libs/net/link_authenticator.h"
#include "libs/net/network_loop.h"
#include "libs/net/retry_after.h"
#include "libs/net/steady_time.h"
#include "libs/telemetry/metrics.h"
#include "libs/telemetry/trace.h"

namespace bilberryspool::agent {

namespace json = boost::json;
using attempts::AdmissionToken;
using attempts::StartAttempt;
using net::HttpExchange;
using net::SteadyNow;

struct AttemptService::Attempt {
  Attempt(StartAttempt start_message,
          net::HttpRequest engine_request,
          bool may_cancel,
          std::size_t max_bytes)
      : start(std::move(start_message)),
        request(std::move(engine_request)),
        is_idempotent(may_cancel),
        log(max_bytes) {}

  StartAttempt start;
  net::HttpRequest request;
  bool is_idempotent;
  AttemptLog log;
  std::shared_ptr<net::Cancellation> cancellation =
      std::make_shared<net::Cancellation>();
};

namespace {

template <typename Message>
std::optional<Message> ParseMessage(std::string_view text) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error) {
    return std::nullopt;
  }
  return attempts::FromJson<Message>(value);
}

// The request as it is sent to the engine: without the header fields internal
// to the system, and with the request id, which the engine may log.
net::HttpRequest ToEngineRequest(const net::HttpRequest& request,
                                 const StartAttempt& start) {
  net::HttpRequest engine_request;
  engine_request.method = request.method;
  engine_request.target = request.target;
  engine_request.body = request.body;
  for (const net::HttpHeader& field : request.headers) {
    const bool is_internal =
        field.name.size() > net::kProtectedPrefix.size() &&
        net::EqualNames(std::string_view(field.name)
                            .substr(0, net::kProtectedPrefix.size()),
                        net::kProtectedPrefix);
    if (is_internal || net::IsHopByHopHeader(field.name)) {
      continue;
    }
    engine_request.headers.Add(field.name, field.value);
  }
  engine_request.headers.Set("X-Request-Id", start.key.request.value());
  if (start.offset > 0) {
    engine_request.headers.Set("X-Resume-Offset", std::to_string(start.offset));
  }
  return engine_request;
}

std::string ToText(const AdmissionToken& token) {
  return std::to_string(token.incarnation.value()) + "." +
         std::to_string(token.generation.value()) + "." +
         std::to_string(token.epoch.value());
}

void RespondText(HttpExchange& exchange, int status, std::string_view text) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain");
  exchange.Respond(std::move(head), text);
}

}  // namespace

AttemptService::AttemptService(net::NetworkLoop& loop,
                               AttemptServiceOptions options,
                               Incarnation incarnation,
                               TimePoint started,
                               telemetry::Registry& metrics,
                               telemetry::SpanWriter* spans)
    : loop_(loop),
      options_(std::move(options)),
      gate_(options_.gate, incarnation, started),
      engine_(loop, {}),
      log_("attempt"),
      metrics_(metrics),
      spans_(spans),
      limit_({}, static_cast<std::uint32_t>(options_.gate.capacity)) {}

AttemptService::~AttemptService() = default;

void AttemptService::Handle(HttpExchange& exchange) {
  const net::HttpHeaders& headers = exchange.request().headers;
  if (const auto resume = headers.Find(links::kResumeHeader)) {
    HandleResume(exchange, std::string(*resume));
    return;
  }
  const auto start = headers.Find(links::kStartHeader);
  if (!start.has_value()) {
    RespondText(exchange, 400, "neither an attempt nor a call\n");
    return;
  }
  HandleStart(exchange, std::string(*start));
}

void AttemptService::HandleStart(HttpExchange& exchange,
                                 const std::string& start_text) {
  const auto start = ParseMessage<StartAttempt>(start_text);
  if (!start.has_value()) {
    RespondText(exchange, 400, "malformed attempt\n");
    return;
  }
  const attempts::Admission admission = gate_.Admit(*start, SteadyNow());
  if (const auto* refusal = std::get_if<attempts::AttemptRefusal>(&admission)) {
    Refuse(exchange, *refusal);
    return;
  }
  if (std::holds_alternative<attempts::AlreadyAdmitted>(admission)) {
    // A duplicate of a message that arrived before; its answer is continued
    // here.
    HandleResume(exchange,
                 json::serialize(attempts::ToJson(
                     attempts::SettleRequest{start->attempt, false})));
    return;
  }
  const net::HttpRequest& request = exchange.request();
  const bool is_idempotent =
      request.headers.ValueOr(links::kIdempotentHeader, "") == "true";
  auto attempt =
      std::make_shared<Attempt>(*start, ToEngineRequest(request, *start),
                                is_idempotent, options_.max_log_bytes);
  attempts_[start->attempt.attempt] = attempt;
  loop_.Spawn([this, attempt] { RunOnEngine(attempt); });
  Follow(exchange, attempt, 0);
}

void AttemptService::HandleResume(HttpExchange& exchange,
                                  const std::string& resume_text) {
  const auto resume = ParseMessage<attempts::SettleRequest>(resume_text);
  const std::string offset_text(
      exchange.request().headers.ValueOr(links::kOffsetHeader, "0"));
  const std::uint64_t offset = std::strtoull(offset_text.c_str(), nullptr, 10);
  const auto found = resume.has_value()
                         ? attempts_.find(resume->attempt.attempt)
                         : attempts_.end();
  const bool can_follow =
      found != attempts_.end() && found->second->log.CanFollowFrom(offset);
  if (!can_follow) {
    net::HttpResponseHead head;
    head.status = 410;
    head.headers.Add(std::string(links::kFailureHeader), "gone");
    exchange.Respond(std::move(head), "the answer is not kept\n");
    return;
  }
  // A copy, as the attempt may be erased while it is followed.
  const AttemptPointer attempt = found->second;
  Follow(exchange, attempt, offset);
}

void AttemptService::Refuse(HttpExchange& exchange,
                            const attempts::AttemptRefusal& refusal) {
  metrics_
      .CounterFor({"bilberryspool_attempts_refused_total",
                   "Attempts that the agent did not start"})
      .Add();
  net::HttpResponseHead head;
  head.status = 503;
  head.headers.Add(std::string(links::kRefusalHeader),
                   json::serialize(attempts::ToJson(refusal)));
  AddAgentHeaders(head.headers);
  exchange.Respond(std::move(head), "refused\n");
}

void AttemptService::RefuseWithdrawn(HttpExchange& exchange,
                                     const Attempt& attempt) {
  attempts::AttemptRefusal refusal;
  refusal.attempt = attempt.start.attempt.attempt;
  refusal.reason = attempts::RefusalReason::kStopped;
  refusal.never_ran = true;
  refusal.token = token();
  Refuse(exchange, refusal);
}

void AttemptService::RunOnEngine(const AttemptPointer& attempt) {
  metrics_
      .CounterFor({"bilberryspool_attempts_started_total",
                   "Attempts handed to the engine"})
      .Add();
  const std::uint64_t started_wall_ns = net::WallNanoseconds();
  const TimePoint started = SteadyNow();
  const std::size_t in_flight = gate_.running();
  auto opened = engine_.Open(options_.engine, attempt->request,
                             options_.engine_timeout, attempt->cancellation);
  if (auto* error = std::get_if<net::HttpError>(&opened)) {
    log_.Warn("The engine did not answer an attempt.",
              {{"attempt", attempt->start.attempt.attempt.value()},
               {"error", error->text}});
    const bool never_sent = error->kind == net::HttpErrorKind::kConnect;
    EndAttempt(attempt,
               never_sent ? AttemptPhase::kWithdrawn : AttemptPhase::kFailed);
  } else {
    limit_.Observe(SteadyNow() - started, in_flight, SteadyNow());
    ReadAnswer(attempt,
               *std::get<std::unique_ptr<net::HttpClientStream>>(opened));
  }
  WriteSpan(*attempt, started_wall_ns);
}

void AttemptService::WriteSpan(const Attempt& attempt,
                               std::uint64_t started_wall_ns) {
  if (spans_ == nullptr) {
    return;
  }
  const auto parent = telemetry::ParseTraceparent(
      attempt.request.headers.ValueOr(telemetry::kTraceparentHeader, ""));
  if (!parent.has_value()) {
    return;
  }
  Random random(started_wall_ns);
  telemetry::Span span;
  span.name = "engine";
  span.context = telemetry::ChildOf(*parent, random);
  span.parent = parent->span_id;
  span.kind = telemetry::SpanKind::kClient;
  span.start = telemetry::WallTime(started_wall_ns);
  span.end = telemetry::WallTime(net::WallNanoseconds());
  if (attempt.log.phase() != AttemptPhase::kFinished) {
    span.error = "engine failed";
  }
  spans_->Write(std::move(span));
}

void AttemptService::ReadAnswer(const AttemptPointer& attempt,
                                net::HttpClientStream& stream) {
  attempt->cancellation->SetHandler([&stream] { stream.Cancel(); });
  attempt->log.SetHead(stream.head());
  PauseIfRequested(*attempt, stream.head());
  AttemptPhase phase = AttemptPhase::kRunning;
  while (phase == AttemptPhase::kRunning) {
    net::StreamPiece piece = stream.Read(options_.engine_timeout);
    std::visit(
        Overloaded{
            [&](std::string& bytes) { attempt->log.Append(std::move(bytes)); },
            [&](net::StreamEnd&) { phase = AttemptPhase::kFinished; },
            [&](net::HttpError&) { phase = AttemptPhase::kFailed; }},
        piece);
  }
  attempt->cancellation->SetHandler(nullptr);
  EndAttempt(attempt, phase);
}

void AttemptService::PauseIfRequested(const Attempt& attempt,
                                      const net::HttpResponseHead& head) {
  const auto text = head.headers.Find("Retry-After");
  if (head.status != net::status::kUnavailable || !text.has_value()) {
    return;
  }
  const auto length = net::ReadRetryAfter(*text);
  if (!length.has_value()) {
    log_.Warn(
        "The engine's Retry-After is not a number of seconds.",
        {{"attempt", attempt.start.attempt.attempt.value()}, {"text", *text}});
    return;
  }
  gate_.Pause(*length, SteadyNow());
  log_.Info("The engine asked for a pause.",
            {{"attempt", attempt.start.attempt.attempt.value()},
             {"ms", *length / Milliseconds(1)}});
}

void AttemptService::EndAttempt(const AttemptPointer& attempt,
                                AttemptPhase phase) {
  const AttemptId& id = attempt->start.attempt.attempt;
  if (phase == AttemptPhase::kWithdrawn) {
    gate_.Withdraw(id);
  } else {
    attempts::Outcome outcome;
    if (phase == AttemptPhase::kFinished) {
      outcome.status = attempt->log.head()->status;
      outcome.body = attempt->log.whole();
    }
    gate_.Finish(id, std::move(outcome));
  }
  attempt->log.Finish(phase);
  loop_.Spawn([this, attempt] {
    loop_.SleepFor(options_.finished_retention);
    attempts_.erase(attempt->start.attempt.attempt);
  });
}

void AttemptService::Follow(HttpExchange& exchange,
                            const AttemptPointer& attempt,
                            std::uint64_t offset) {
  attempt->log.AddFollower();
  const bool is_answered =
      WaitForHead(exchange, attempt) && StreamLog(exchange, attempt, offset);
  attempt->log.RemoveFollower();
  if (!is_answered) {
    CancelIfOrphaned(attempt);
  }
}

bool AttemptService::WaitForHead(HttpExchange& exchange,
                                 const AttemptPointer& attempt) {
  while (!attempt->log.head().has_value()) {
    if (attempt->log.phase() == AttemptPhase::kWithdrawn) {
      RefuseWithdrawn(exchange, *attempt);
      return true;
    }
    if (attempt->log.phase() == AttemptPhase::kFailed) {
      net::HttpResponseHead head;
      head.status = 502;
      head.headers.Add(std::string(links::kFailureHeader), "engine");
      AddAgentHeaders(head.headers);
      exchange.Respond(std::move(head), "the engine failed\n");
      return true;
    }
    const bool is_changed =
        attempt->log.WaitForChange(SteadyNow() + options_.keepalive_interval);
    if (!is_changed && !exchange.SendProcessing()) {
      return false;
    }
  }
  return true;
}

bool AttemptService::StreamLog(HttpExchange& exchange,
                               const AttemptPointer& attempt,
                               std::uint64_t offset) {
  if (exchange.has_responded()) {
    return true;
  }
  constexpr std::size_t kPieceBytes = 32UL * 1024;
  net::HttpResponseHead head = *attempt->log.head();
  AddAgentHeaders(head.headers);
  if (!exchange.BeginStream(std::move(head))) {
    return false;
  }
  while (true) {
    if (!attempt->log.CanFollowFrom(offset)) {
      exchange.AbortStream();
      return true;
    }
    const std::string piece = attempt->log.Read(offset, kPieceBytes);
    if (!piece.empty()) {
      offset += piece.size();
      if (!exchange.WritePiece(piece)) {
        return false;
      }
      continue;
    }
    if (attempt->log.phase() == AttemptPhase::kFinished) {
      return exchange.EndStream();
    }
    if (attempt->log.phase() == AttemptPhase::kFailed) {
      exchange.AbortStream();
      return true;
    }
    attempt->log.WaitForChange(SteadyNow() + options_.engine_timeout);
  }
}

// No entry may need the answer any more. As the entry may also be about to
// resume over a new connection, idempotent work is cancelled only after a
// delay. Other work runs to its end, since its effects are wanted once.
void AttemptService::CancelIfOrphaned(const AttemptPointer& attempt) {
  if (!attempt->is_idempotent || attempt->log.followers() > 0) {
    return;
  }
  loop_.Spawn([this, attempt] {
    loop_.SleepFor(options_.orphan_grace);
    const bool is_orphan = attempt->log.followers() == 0 &&
                           attempt->log.phase() == AttemptPhase::kRunning;
    if (is_orphan) {
      attempt->cancellation->Cancel();
    }
  });
}

void AttemptService::AddAgentHeaders(net::HttpHeaders& headers) const {
  headers.Set(links::kTokenHeader, ToText(token()));
  if (!load_text_.empty()) {
    headers.Set(links::kLoadHeader, load_text_);
  }
}

std::optional<json::value> AttemptService::Settle(const json::value& params) {
  const auto request = attempts::FromJson<attempts::SettleRequest>(params);
  if (!request.has_value()) {
    return std::nullopt;
  }
  return attempts::ToJson(gate_.Settle(*request, SteadyNow()));
}

std::optional<json::value> AttemptService::Cancel(const json::value& params) {
  const auto* id =
      params.is_object() ? params.as_object().if_contains("attempt") : nullptr;
  if (id == nullptr || !id->is_string()) {
    return std::nullopt;
  }
  const auto found = attempts_.find(AttemptId(std::string(id->as_string())));
  const bool can_cancel =
      found != attempts_.end() && found->second->is_idempotent;
  if (can_cancel) {
    found->second->cancellation->Cancel();
  }
  return json::value(can_cancel);
}

std::optional<json::value> AttemptService::Token(const json::value&) {
  return json::value(ToText(token()));
}

void AttemptService::SetLoad(std::uint32_t running, std::uint32_t queued) {
  load_text_ = std::to_string(running) + "/" + std::to_string(queued) + "/" +
               std::to_string(limit_.limit());
}

void AttemptService::StartDraining() {
  gate_.StartDraining(SteadyNow());
}

void AttemptService::StopNewWork() {
  gate_.Stop();
}

void AttemptService::SetHeld(bool is_held) {
  gate_.set_capacity(is_held ? 0 : options_.gate.capacity);
}

std::size_t AttemptService::running() const {
  return gate_.running();
}

AdmissionToken AttemptService::token() const {
  return gate_.token(SteadyNow());
}

}  // namespace bilberryspool::agent
