#include "plugins/callers/request_runner.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <sstream>

#include "libs/attempts/messages_json.h"
#include "libs/links/link_headers.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/callers/final_answer.h"
#include "plugins/callers/request_headers.h"

namespace bilberryspool::callers {

namespace json = boost::json;
using net::SteadyNow;

namespace {

constexpr std::size_t kMaxQueuedEvents = 64;
constexpr std::size_t kMaxTokenTries = 3;
// A target that refuses all work is tried again after this time at the latest:
// it may have been restarted.
constexpr Duration kMaxRefusalTime = Seconds(3);

attempts::RequestSpec MakeSpec(CallerState& state,
                               const RequestContext& context) {
  attempts::RequestSpec spec;
  spec.key = context.key;
  spec.fingerprint = context.fingerprint;
  spec.claimant = {state.self, state.incarnation,
                   attempts::ClaimNumber(++state.last_claim)};
  spec.idempotent = context.is_idempotent;
  spec.first_send = context.is_first_send;
  spec.deadline = context.deadline;
  spec.may_predate_stall = state.stall.MayPredateStall(SteadyNow());
  if (!context.is_idempotent) {
    spec.holders = state.rosters.HoldersOf(context.key, SteadyNow());
  }
  return spec;
}

}  // namespace

RequestRunner::RequestRunner(CallerState& state,
                             RequestContext& context,
                             std::shared_ptr<CallerWatch> watch)
    : state_(state),
      context_(context),
      watch_(std::move(watch)),
      machine_(state.machine_options, MakeSpec(state, context)),
      request_(context.exchange.request()) {}

void RequestRunner::Run() {
  state_.runners.insert(this);
  watch_->SetHandler([self = shared_from_this()] {
    self->Push(attempts::CallerDisconnected{});
  });
  if (watch_->has_disconnected()) {
    Push(attempts::CallerDisconnected{});
  }
  HandleEvent(attempts::RequestStarted{});
  while (!machine_.done()) {
    HandleEvent(NextEvent());
  }
  context_.attempts = machine_.attempts();
  watch_->SetHandler(nullptr);
  state_.runners.erase(this);
  is_finished_ = true;
  events_.clear();
  event_taken_.NotifyAll();
  for (const auto& [attempt, cancellation] : cancellations_) {
    cancellation->Cancel();
  }
}

void RequestRunner::Stop() {
  Push(attempts::StopDeadlineReached{});
}

void RequestRunner::OnStall() {
  // In front of the queued events, which may date from before the stall.
  events_.push_front(attempts::EntryStalled{});
  event_added_.NotifyAll();
}

void RequestRunner::OnRosterChanged() {
  if (!context_.is_idempotent) {
    Push(attempts::HoldersChanged{
        state_.rosters.HoldersOf(context_.key, SteadyNow())});
  }
}

void RequestRunner::Push(Event event) {
  if (is_finished_) {
    return;
  }
  events_.push_back(std::move(event));
  event_added_.NotifyAll();
}

void RequestRunner::PushBounded(Event event) {
  while (!is_finished_ && events_.size() >= kMaxQueuedEvents) {
    event_taken_.Wait();
  }
  Push(std::move(event));
}

attempts::RequestEvent RequestRunner::NextEvent() {
  while (events_.empty()) {
    state_.Beat();
    const auto deadline = machine_.next_deadline();
    if (!deadline.has_value()) {
      event_added_.Wait();
      continue;
    }
    if (SteadyNow() >= *deadline) {
      return attempts::RequestTick{};
    }
    event_added_.WaitUntil(*deadline);
  }
  state_.Beat();
  Event event = std::move(events_.front());
  events_.pop_front();
  event_taken_.NotifyAll();
  return event;
}

void RequestRunner::HandleEvent(const Event& event) {
  for (const auto& action : machine_.Handle(event, SteadyNow())) {
    Execute(action);
  }
}

void RequestRunner::Execute(const attempts::RequestAction& action) {
  std::visit([this](const auto& typed) { On(typed); }, action);
}

void RequestRunner::On(const attempts::Route& action) {
  state_.loop.Spawn([self = shared_from_this(), excluded = action.excluded] {
    self->Push(self->ChooseTarget(excluded));
  });
}

void RequestRunner::ReportChoice(const routing::Choice& choice) {
  if (!state_.report) {
    return;
  }
  const auto* selected = std::get_if<routing::Selected>(&choice);
  const routing::RouteExplanation& explanation =
      selected != nullptr ? selected->explanation
                          : std::get<routing::NoTarget>(choice).explanation;
  std::string text =
      selected != nullptr
          ? selected->target.value() + " by " +
                std::string(routing::ToString(explanation.rule))
          : "no target: " + std::string(routing::ToString(
                                std::get<routing::NoTarget>(choice).reason));
  text += " of " + std::to_string(explanation.candidates) + " candidates";
  for (const routing::CandidateScore& candidate : explanation.best) {
    std::ostringstream score;
    score << std::setprecision(3) << "; " << candidate.target << " load "
          << candidate.load << " score " << candidate.score;
    text += score.str();
  }
  state_.report({context_.service, RequestId(""), std::move(text)});
}

attempts::RequestEvent RequestRunner::ChooseTarget(
    std::vector<TargetId> excluded) {
  if (is_finished_) {
    return attempts::NoTarget{};
  }
  const bool is_first = excluded.empty();
  if (is_first) {
    state_.retries.OnFirstAttempt(context_.key.workspace, SteadyNow());
  } else if (!state_.retries.TryRetry(context_.key.workspace, SteadyNow())) {
    return attempts::NoTarget{};
  }
  routing::RouteRequest request;
  request.service = context_.service;
  request.workspace = context_.key.workspace;
  request.priority = context_.priority;
  request.prefix_hashes = context_.prefix_hashes;
  request.expected_tokens = context_.expected_tokens;
  request.deadline = context_.deadline;
  request.own_domain = state_.own_domain;
  request.idempotent = context_.is_idempotent;
  request.excluded = std::move(excluded);
  for (TargetId& target : state_.RefusingTargets()) {
    request.excluded.push_back(std::move(target));
  }
  Duration retry_after{};
  for (std::size_t i = 0; i < kMaxTokenTries; ++i) {
    const auto choice = state_.router.Choose(request, SteadyNow());
    if (!is_finished_) {
      ReportChoice(choice);
    }
    if (const auto* none = std::get_if<routing::NoTarget>(&choice)) {
      return attempts::NoTarget{none->retry_after};
    }
    const TargetId target = std::get<routing::Selected>(choice).target;
    const auto token = state_.agents.FreshToken(target);
    if (token.has_value()) {
      return attempts::TargetChosen{target, *token, false};
    }
    // The agent does not answer. Nothing was sent, so another target may be
    // tried.
    request.excluded.push_back(target);
  }
  return attempts::NoTarget{retry_after};
}

void RequestRunner::On(const attempts::SendAttempt& action) {
  state_.router.Handle(
      routing::AttemptStarted{action.start.attempt.attempt,
                              action.start.attempt.target, context_.service,
                              context_.prefix_hashes},
      SteadyNow());
  state_.loop.Spawn([self = shared_from_this(), start = action.start] {
    self->RunAttempt(start);
  });
}

net::HttpRequest RequestRunner::MakeAttemptRequest(
    const attempts::StartAttempt& start) const {
  net::HttpRequest request = request_;
  request.headers.Remove("Authorization");
  request.headers.Remove("Host");
  request.headers.Set(links::kStartHeader,
                      json::serialize(attempts::ToJson(start)));
  request.headers.Set(links::kIdempotentHeader,
                      context_.is_idempotent ? "true" : "false");
  request.headers.Set(telemetry::kTraceparentHeader,
                      telemetry::FormatTraceparent(context_.trace));
  return request;
}

void RequestRunner::RunAttempt(const attempts::StartAttempt& start) {
  const AttemptId& id = start.attempt.attempt;
  const auto endpoint = state_.agents.Find(start.attempt.target);
  if (!endpoint.has_value() || is_finished_) {
    ReportAttemptEnd(id, routing::AttemptOutcome::kDisconnected);
    Push(attempts::AttemptRefused{
        id, attempts::RefusalReason::kStopped, true, {}});
    return;
  }
  auto cancellation = std::make_shared<net::Cancellation>();
  cancellations_[id] = cancellation;
  auto opened =
      state_.links.Open(*endpoint, MakeAttemptRequest(start),
                        state_.machine_options.silence_timeout, cancellation,
                        [this, &id] { Push(attempts::AttemptAlive{id}); });
  if (const auto* error = std::get_if<net::HttpError>(&opened)) {
    state_.links.DropIdle(*endpoint);
    ReportAttemptEnd(id, routing::AttemptOutcome::kDisconnected);
    // Without a connection no byte of the attempt has left this process.
    if (error->kind == net::HttpErrorKind::kConnect) {
      Push(attempts::AttemptRefused{
          id, attempts::RefusalReason::kStopped, true, {}});
    } else {
      Push(attempts::LinkLost{id});
    }
    return;
  }
  auto& stream = std::get<std::unique_ptr<net::HttpClientStream>>(opened);
  cancellation->SetHandler([raw = stream.get()] { raw->Cancel(); });
  ReadAnswer(start.attempt, *stream, 0);
  cancellation->SetHandler(nullptr);
}

void RequestRunner::On(const attempts::ResumeAttempt& action) {
  state_.loop.Spawn([self = shared_from_this(), action] {
    self->RunResume(action.attempt, action.offset);
  });
}

void RequestRunner::RunResume(const attempts::AttemptRef& attempt,
                              std::uint64_t offset) {
  const auto endpoint = state_.agents.Find(attempt.target);
  if (!endpoint.has_value()) {
    Push(attempts::LinkLost{attempt.attempt});
    return;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = request_.target;
  request.headers.Set(links::kResumeHeader,
                      json::serialize(attempts::ToJson(
                          attempts::SettleRequest{attempt, false})));
  request.headers.Set(links::kOffsetHeader, std::to_string(offset));
  auto cancellation = std::make_shared<net::Cancellation>();
  cancellations_[attempt.attempt] = cancellation;
  auto opened = state_.links.Open(
      *endpoint, std::move(request), state_.machine_options.silence_timeout,
      cancellation,
      [this, &attempt] { Push(attempts::AttemptAlive{attempt.attempt}); });
  if (std::holds_alternative<net::HttpError>(opened)) {
    state_.links.DropIdle(*endpoint);
    Push(attempts::LinkLost{attempt.attempt});
    return;
  }
  auto& stream = std::get<std::unique_ptr<net::HttpClientStream>>(opened);
  cancellation->SetHandler([raw = stream.get()] { raw->Cancel(); });
  ReadAnswer(attempt, *stream, offset);
  cancellation->SetHandler(nullptr);
}

std::optional<attempts::RequestEvent> RequestRunner::EvaluateHead(
    const attempts::AttemptRef& attempt,
    const net::HttpResponseHead& head) {
  const auto refusal_text = head.headers.Find(links::kRefusalHeader);
  if (refusal_text.has_value()) {
    boost::system::error_code error;
    const json::value value = json::parse(std::string(*refusal_text), error);
    const auto refusal =
        error ? std::nullopt
              : attempts::FromJson<attempts::AttemptRefusal>(value);
    ReportAttemptEnd(attempt.attempt, routing::AttemptOutcome::kRefusedBusy);
    if (!refusal.has_value()) {
      return attempts::LinkLost{attempt.attempt};
    }
    const bool is_leaving =
        refusal->reason == attempts::RefusalReason::kLeaving ||
        refusal->reason == attempts::RefusalReason::kStopped;
    if (is_leaving) {
      state_.RecordRefusingTarget(attempt.target, kMaxRefusalTime);
    } else if (refusal->reason == attempts::RefusalReason::kPaused) {
      state_.RecordRefusingTarget(
          attempt.target, std::min(refusal->retry_after, kMaxRefusalTime));
    }
    return attempts::AttemptRefused{attempt.attempt, refusal->reason,
                                    refusal->never_ran, refusal->retry_after};
  }
  if (head.headers.Find(links::kFailureHeader) == "gone") {
    return attempts::LinkLost{attempt.attempt};
  }
  if (head.status == net::status::kUnauthorized &&
      !head.headers.Find(links::kTokenHeader).has_value()) {
    // The agent refused the key of this entry before it looked at the attempt.
    ReportAttemptEnd(attempt.attempt, routing::AttemptOutcome::kFailed);
    return attempts::AttemptRefused{
        attempt.attempt, attempts::RefusalReason::kStopped, true, {}};
  }
  if (head.status >= net::status::kServerError) {
    ReportAttemptEnd(attempt.attempt, routing::AttemptOutcome::kFailed);
    return attempts::AttemptFailed{attempt.attempt};
  }
  return std::nullopt;
}

void RequestRunner::ReadAnswer(const attempts::AttemptRef& attempt,
                               net::HttpClientStream& stream,
                               std::uint64_t offset) {
  RecordAgentHeaders(attempt.target, stream.head());
  if (auto event = EvaluateHead(attempt, stream.head())) {
    Push(std::move(*event));
    return;
  }
  answer_headers_ = stream.head().headers;
  Push(attempts::AttemptHead{attempt.attempt, stream.head().status});
  bool is_first = true;
  while (!is_finished_) {
    // The request machine decides when a silent stream is lost; this timeout
    // only ensures that the fiber ends.
    net::StreamPiece piece =
        stream.Read(state_.machine_options.silence_timeout * 2);
    if (auto* bytes = std::get_if<std::string>(&piece)) {
      if (is_first) {
        state_.router.Handle(routing::FirstToken{attempt.attempt}, SteadyNow());
        is_first = false;
      }
      const std::uint64_t at = offset;
      offset += bytes->size();
      PushBounded(
          attempts::AttemptChunk{attempt.attempt, at, std::move(*bytes)});
      continue;
    }
    if (std::holds_alternative<net::StreamEnd>(piece)) {
      ReportAttemptEnd(attempt.attempt, routing::AttemptOutcome::kSucceeded);
      PushBounded(attempts::AttemptFinished{attempt.attempt, offset});
      return;
    }
    ReportAttemptEnd(attempt.attempt,
                     is_finished_ ? routing::AttemptOutcome::kCancelled
                                  : routing::AttemptOutcome::kDisconnected);
    PushBounded(attempts::LinkLost{attempt.attempt});
    return;
  }
  ReportAttemptEnd(attempt.attempt, routing::AttemptOutcome::kCancelled);
}

void RequestRunner::RecordAgentHeaders(const TargetId& target,
                                       const net::HttpResponseHead& head) {
  if (const auto token = head.headers.Find(links::kTokenHeader)) {
    state_.RecordToken(target, *token);
  }
  if (const auto load = head.headers.Find(links::kLoadHeader)) {
    state_.RecordLoad(target, *load);
  }
}

void RequestRunner::ReportAttemptEnd(const AttemptId& attempt,
                                     routing::AttemptOutcome outcome) {
  state_.router.Handle(routing::AttemptFinished{attempt, outcome, std::nullopt},
                       SteadyNow());
}

void RequestRunner::On(const attempts::RelayHead& action) {
  net::HttpResponseHead head;
  head.status = action.status;
  for (const net::HttpHeader& field : answer_headers_) {
    const bool is_internal =
        std::string_view(field.name).starts_with(net::kProtectedPrefix) ||
        net::IsHopByHopHeader(field.name);
    if (!is_internal) {
      head.headers.Add(field.name, field.value);
    }
  }
  head.headers.Set(kOutcomeHeader,
                   std::string(ToString(attempts::FinalKind::kAnswered)));
  head.headers.Set(telemetry::kTraceparentHeader,
                   telemetry::FormatTraceparent(context_.trace));
  context_.status = action.status;
  OnWritten(context_.exchange.BeginStream(std::move(head)));
}

void RequestRunner::On(const attempts::RelayChunk& action) {
  if (!context_.first_byte.has_value()) {
    context_.first_byte = SteadyNow();
  }
  context_.bytes += action.data.size();
  OnWritten(context_.exchange.WritePiece(action.data));
}

void RequestRunner::OnWritten(bool is_written) {
  if (is_written || has_reported_disconnect_) {
    return;
  }
  has_reported_disconnect_ = true;
  Push(attempts::CallerDisconnected{});
}

void RequestRunner::On(const attempts::AnswerCaller& action) {
  context_.outcome = ToString(action.kind);
  context_.reason = ToString(action.reason);
  net::HttpExchange& exchange = context_.exchange;
  if (action.outcome.has_value()) {
    net::HttpResponseHead head;
    head.status = action.outcome->status;
    head.headers.Set(kOutcomeHeader, std::string(ToString(action.kind)));
    head.headers.Set(kReasonHeader, std::string(ToString(action.reason)));
    context_.status = head.status;
    OnWritten(
        exchange.Respond(std::move(head), action.outcome->body.value_or("")));
    return;
  }
  if (!exchange.has_responded()) {
    const FinalAnswer answer = MakeFinalAnswer(action);
    context_.status = answer.status;
    OnWritten(Respond(exchange, answer));
    return;
  }
  if (action.kind == attempts::FinalKind::kAnswered) {
    OnWritten(exchange.EndStream());
    return;
  }
  exchange.AbortStream();
}

}  // namespace bilberryspool::callers
