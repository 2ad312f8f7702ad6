#include "plugins/gateway/relay_call.h"

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/gateway/answer_buffer.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using traffic::RelayStep;
using traffic::SendResult;
using traffic::TargetOutcome;

namespace {

// Part of the caller's time that is reserved for the answer: several
// transmissions of 1 to 3 ms each, and the scheduling delay of a busy process.
constexpr Duration kAnswerTime = Milliseconds(50);

// A process that exits closes its connections first, and under load its port
// some tens of milliseconds later.
constexpr Duration kMaxExitTime = Milliseconds(200);

// How long after the caller's time bytes of an answer are still read: an answer
// that is ready is delivered.
constexpr Duration kMaxLateness = Milliseconds(200);

bool IsEventStream(const net::HttpResponseHead& head) {
  return head.headers.ValueOr("Content-Type", "")
      .starts_with("text/event-stream");
}

}  // namespace

RelayCall::RelayCall(GatewayState& state, net::HttpExchange& exchange)
    : state_(state),
      exchange_(exchange),
      arrived_(SteadyNow()),
      deadline_(arrived_ + kDefaultTimeout),
      head_(ReadHead(exchange.request(), state.header_names)),
      routes_(state.routes),
      trace_(state.tracing, exchange.request().headers, state.random),
      cancellation_(std::make_shared<net::Cancellation>()) {}

void RelayCall::Run() {
  ++state_.requests_in_progress;
  if (Admit()) {
    exchange_.NotifyOnDisconnect([this] { OnCallerDisconnected(); });
    Relay();
    ReleaseNextTarget();
  }
  --state_.requests_in_progress;
}

bool RelayCall::Admit() {
  if (routes_ == nullptr) {
    Refuse(RetryAfter(), "no configuration yet");
    return false;
  }
  const auto outcome = routes_->Match(head_.host, head_.path, head_.key);
  if (std::holds_alternative<traffic::NoRoute>(outcome)) {
    Fail(net::status::kNotFound, "no route");
    return false;
  }
  if (std::holds_alternative<traffic::KeyUnknown>(outcome)) {
    Fail(net::status::kUnauthorized, "key unknown");
    return false;
  }
  match_ = std::get<traffic::RouteMatch>(outcome);
  deadline_ =
      arrived_ + std::min(match_.route->timeout,
                          head_.wait_timeout.value_or(match_.route->timeout));
  service_ = traffic::ChooseService(*match_.route, state_.random.Fraction());
  urgency_rank_ = routes_->UrgencyRankOf(service_, match_.urgency);
  fingerprint_ = Fingerprint();
  for (const std::string& id : head_.shared_parts) {
    parts_.push_back(quarantine::FingerprintOfPromptPart(id));
  }
  if (state_.ends_at.has_value() && deadline_ > *state_.ends_at) {
    RefuseStopping();
    return false;
  }
  return true;
}

quarantine::RequestFingerprint RelayCall::Fingerprint() const {
  const net::HttpRequest& request = exchange_.request();
  quarantine::RequestIdentity identity;
  if (match_.holder != nullptr) {
    identity.workspace = match_.holder->workspace;
  }
  identity.method = request.method;
  identity.host = head_.host;
  identity.target = request.target;
  identity.body = request.body;
  return quarantine::FingerprintOf(identity);
}

void RelayCall::Relay() {
  state_.BudgetOf(service_).OnRequest(arrived_);
  while (true) {
    if (!AwaitGroup()) {
      Finish("caller_left", "while the group was forming");
      return;
    }
    if (sends_ == 0 && !PassUrgencyGate()) {
      return;
    }
    if (!AwaitRunPermission()) {
      return;
    }
    const auto chosen = ChooseTarget();
    if (const auto* reason = std::get_if<traffic::NoChoice>(&chosen)) {
      EndTrials();
      AnswerNoTarget(*reason);
      return;
    }
    const auto& choice = std::get<traffic::Choice>(chosen);
    tried_targets_.insert(choice.target);
    ++sends_;
    const SendOutcome outcome = SendTo(choice);
    EndTrials();
    if (std::holds_alternative<Answered>(outcome)) {
      Finish("served", "");
      return;
    }
    if (std::holds_alternative<CallerDisconnected>(outcome) ||
        caller_disconnected_) {
      Finish("caller_left", "");
      return;
    }
    if (std::holds_alternative<AnswerAborted>(outcome)) {
      exchange_.AbortStream();
      Finish("broken_off", "");
      return;
    }
    const auto& failed = std::get<NotServed>(outcome);
    const RelayStep step = StepAfter(failed);
    if (step != RelayStep::kRetry) {
      AnswerStep(step, failed.reason);
      return;
    }
  }
}

traffic::ChoiceOutcome RelayCall::ChooseTarget() {
  if (next_choice_.has_value()) {
    return *std::exchange(next_choice_, std::nullopt);
  }
  state_.grants.AcquireGrant(service_, tried_targets_);
  return state_.targets.Choose(service_, tried_targets_, SteadyNow());
}

// The request may have ended before its next send.
void RelayCall::ReleaseNextTarget() {
  if (next_choice_.has_value()) {
    state_.targets.OnNotSent(next_choice_->target);
    next_choice_.reset();
  }
}

// Callers wait for a group that is about to form: if they were refused now,
// they would retry only seconds later.
bool RelayCall::AwaitGroup() {
  // Bounded, as callers should not wait for a group that fails to form. Two
  // ranks that returned one after the other took 1.06 s; of 2,207 requests that
  // waited, 1,887 were served and 99 were refused, after 0.54 s at most.
  constexpr Duration kMaxWait = Milliseconds(1200);
  const TimePoint began = SteadyNow();
  const TimePoint limit = std::min(began + kMaxWait, deadline_ - kAnswerTime);
  while (!caller_disconnected_ && !state_.is_ending && SteadyNow() < limit &&
         state_.targets.AvailabilityOf(service_, SteadyNow()) ==
             traffic::Availability::kForming) {
    state_.update_signal.WaitUntil(
        std::min(limit, state_.targets.forming_until(service_)));
  }
  const auto waited = (SteadyNow() - began) / Milliseconds(1);
  if (waited > 0) {
    send_log_ += "(waited " + std::to_string(waited) + " ms for the group)";
  }
  return !caller_disconnected_;
}

// Urgent requests come first when the room of the service is scarce.
bool RelayCall::PassUrgencyGate() {
  const traffic::ServiceDemands& demands = routes_->DemandsOf(service_);
  if (!demands.has_urgent_routes) {
    return true;
  }
  const std::size_t ranks = demands.urgencies.size();
  const TimePoint now = SteadyNow();
  const auto load = std::max(state_.targets.LoadFractionOf(service_, now),
                             state_.stream_pauses.LoadOf(service_, now));
  if (state_.urgency.MayPass(service_, urgency_rank_, ranks, load)) {
    return true;
  }
  state_.metrics
      .CounterFor({"bilberryspool_less_urgent_refused_total",
                   "Requests refused to keep room for more urgent ones"},
                  {{"service", service_.value()},
                   {"urgency", std::to_string(urgency_rank_)}})
      .Add();
  constexpr double kPercent = 100.0;
  Refuse(RetryAfter(),
         "room is kept for more urgent requests, load " +
             std::to_string(static_cast<int>(kPercent * load.value_or(0.0))) +
             " percent");
  return false;
}

RelayStep RelayCall::StepAfter(const NotServed& failed) {
  traffic::RelayState relay;
  relay.may_repeat = match_.route->may_repeat();
  relay.last = failed.result;
  relay.may_have_run_before = may_have_run_;
  relay.sends = sends_;
  relay.allowed_sends = match_.route->attempts;
  relay.time_left = time_left();
  // All ranks of a broken group refuse requests alike.
  if (failed.result == SendResult::kNotExecuted &&
      state_.targets.AvailabilityOf(service_, SteadyNow()) ==
          traffic::Availability::kBroken) {
    send_log_ += "(group broken)";
    relay.allowed_sends = sends_;
  }
  if (loss_.has_value() || state_.is_ending) {
    relay.allowed_sends = sends_;
  }
  RelayStep step = traffic::NextStep(relay);
  const bool is_retry_charged = std::exchange(is_retry_charged_, false);
  if (step == RelayStep::kRetry && failed.result != SendResult::kNotSent &&
      !is_retry_charged && !MayRetry()) {
    send_log_ += "(budget)";
    relay.allowed_sends = sends_;
    step = traffic::NextStep(relay);
  }
  if (failed.result == SendResult::kFailed ||
      failed.result == SendResult::kUnknown) {
    may_have_run_ = true;
  }
  return step;
}

RelayCall::SendOutcome RelayCall::SendTo(const traffic::Choice& choice) {
  if (state_.is_ending) {
    state_.targets.OnNotSent(choice.target);
    return NotServed{SendResult::kNotSent, "the gateway stops"};
  }
  send_log_ += (send_log_.empty() ? "" : ";") + choice.target.value() + "@" +
               choice.address +
               " load=" + std::to_string(static_cast<int>(choice.load)) + "/" +
               std::to_string(choice.slots);
  ForwardedHead forwarded;
  if (match_.holder != nullptr) {
    forwarded.workspace = match_.holder->workspace.value();
  }
  forwarded.target = choice.target.value();
  forwarded.time_left = time_left();
  forwarded.priority = urgency_rank_;
  if (has_stream_started_ && splitter_.last_id().has_value()) {
    forwarded.last_event_id = *splitter_.last_id();
  }
  const auto endpoint = net::ParseEndpoint(choice.address);
  if (!endpoint.has_value()) {
    FinishSend(choice, TargetOutcome::kFailed);
    return NotServed{SendResult::kNotSent, "no address"};
  }
  current_target_ = choice.target;
  leave_reason_.reset();
  cancellation_ = std::make_shared<net::Cancellation>();
  state_.active_calls.insert(this);
  state_.prober.OnSent(choice.target, *endpoint, SteadyNow());
  sent_at_ = SteadyNow();
  send_first_event_at_.reset();
  has_target_terminated_ = false;
  are_parts_reported_ = false;
  SendOutcome outcome = Send(choice, *endpoint, forwarded);
  state_.prober.OnEnded(choice.target, SteadyNow());
  state_.active_calls.erase(this);
  return outcome;
}

RelayCall::SendOutcome RelayCall::Send(const traffic::Choice& choice,
                                       const net::Endpoint& endpoint,
                                       const ForwardedHead& forwarded) {
  const TimePoint sent_at = SteadyNow();
  net::HttpRequest request =
      MakeTargetRequest(exchange_.request(), forwarded, state_.header_names);
  trace_.StartSend(request);
  auto opened =
      state_.client.Open(endpoint, request, wait_timeout(), cancellation_,
                         nullptr, exchange_.request().body);
  if (const auto* error = std::get_if<net::HttpError>(&opened)) {
    return EvaluateError(choice, *error);
  }
  auto& stream = *std::get<std::unique_ptr<net::HttpClientStream>>(opened);
  open_stream_ = &stream;
  state_.prober.OnBytesReceived(choice.target, SteadyNow());
  SendOutcome outcome = EvaluateHead(choice, stream.head());
  if (const auto* failed = std::get_if<NotServed>(&outcome);
      failed == nullptr) {
    state_.targets.OnFirstByte(choice.target, SteadyNow() - sent_at,
                               SteadyNow());
    const bool is_stream = match_.route->kind == traffic::RequestKind::kStream;
    outcome = is_stream && IsEventStream(stream.head())
                  ? RelayStream(choice, stream)
                  : RelayWholeAnswer(choice, stream);
  }
  open_stream_ = nullptr;
  return outcome;
}

RelayCall::SendOutcome RelayCall::EvaluateError(const traffic::Choice& choice,
                                                const net::HttpError& error) {
  if (caller_disconnected_) {
    // That the caller has disconnected is no sign of a failed target; the
    // silence of the target is.
    const bool is_silent = state_.targets.IsSuspect(choice.target, SteadyNow());
    FinishSend(choice,
               is_silent ? TargetOutcome::kFailed : TargetOutcome::kGood);
    return CallerDisconnected{};
  }
  if (state_.is_ending && error.kind == net::HttpErrorKind::kCancelled) {
    FinishSend(choice, TargetOutcome::kGood);
    return NotServed{SendResult::kUnknown, "the gateway stops"};
  }
  if (loss_.has_value()) {
    FinishSend(choice, TargetOutcome::kFailed);
    const bool is_reported = *loss_ == LossReport::kControlNodes;
    send_log_ += is_reported ? " left:missing" : " left:silent_vm";
    return NotServed{SendResult::kUnknown,
                     is_reported ? "the target answers nobody"
                                 : "the VM of the target does not respond"};
  }
  if (leave_reason_.has_value()) {
    // A slow target has not failed.
    const bool is_slow = *leave_reason_ == LeaveReason::kSlow;
    FinishSend(choice, is_slow ? TargetOutcome::kGood : TargetOutcome::kFailed);
    const std::string reason = is_slow ? "slow" : "silent";
    send_log_ += " left:" + reason;
    return NotServed{SendResult::kUnknown, "left a target that is " + reason};
  }
  FinishSend(choice, TargetOutcome::kFailed);
  const bool is_unsent = error.kind == net::HttpErrorKind::kConnect;
  const bool has_terminated = HasTerminated(choice, error.kind);
  if (has_terminated) {
    ReportTermination(choice);
  }
  send_log_ += is_unsent ? " unreachable" : " no_head:" + error.text;
  send_log_ += has_terminated ? " ended" : "";
  return NotServed{is_unsent ? SendResult::kNotSent : SendResult::kUnknown,
                   error.text};
}

bool RelayCall::HasTerminated(const traffic::Choice& choice,
                              net::HttpErrorKind kind) {
  const auto endpoint = net::ParseEndpoint(choice.address);
  if (kind != net::HttpErrorKind::kClosed || !endpoint.has_value()) {
    return false;
  }
  const bool is_suspect =
      state_.quarantine.OnConnectionBroken(fingerprint_, parts_, SteadyNow());
  return state_.termination_detector.HasTerminated(
      choice.target, *endpoint, is_suspect ? kMaxExitTime : Duration::zero());
}

RelayCall::SendOutcome RelayCall::EvaluateHead(
    const traffic::Choice& choice,
    const net::HttpResponseHead& head) {
  const traffic::HeaderNames& header_names = state_.header_names;
  const TimePoint now = SteadyNow();
  if (const auto text = head.headers.Find(header_names.load)) {
    if (const auto load = ReadLoad(*text)) {
      state_.targets.OnLoad(choice.target, load->running, load->waiting, now);
    }
  }
  send_log_ += " " + std::to_string(head.status);
  ReadTargetState(choice, head);
  const bool is_refusal =
      head.headers.Find(header_names.not_executed).has_value();
  if (head.status == net::status::kMisdirected || is_refusal) {
    const bool is_replaced = head.status == net::status::kMisdirected;
    FinishSend(choice,
               is_replaced ? TargetOutcome::kReplaced : TargetOutcome::kFull);
    send_log_ += " not_executed";
    if (const auto at_fault = head.headers.Find(header_names.at_fault)) {
      send_log_ += " at=" + std::string(*at_fault);
      if (!is_replaced && *at_fault != choice.target.value()) {
        state_.targets.OnGroupRefused(choice.target, now);
      }
    }
    return NotServed{SendResult::kNotExecuted, "target refused"};
  }
  const auto id = head.headers.Find(header_names.request_id);
  if (id.has_value() && *id != head_.request_id) {
    FinishSend(choice, TargetOutcome::kFailed);
    send_log_ += " other_answer";
    return NotServed{SendResult::kUnknown, "another request's answer"};
  }
  if (net::status::IsSuccess(head.status) &&
      !head.headers.Find(header_names.signature)) {
    FinishSend(choice, TargetOutcome::kFailed);
    send_log_ += " unsigned";
    return NotServed{SendResult::kUnknown, "no signature"};
  }
  return Answered{};
}

RelayCall::SendOutcome RelayCall::RelayWholeAnswer(
    const traffic::Choice& choice,
    net::HttpClientStream& stream) {
  AnswerBuffer body(state_.buffered_bytes);
  while (true) {
    net::StreamPiece piece = stream.Read(wait_timeout());
    if (const auto* bytes = std::get_if<std::string>(&piece)) {
      state_.prober.OnBytesReceived(choice.target, SteadyNow());
      if (SteadyNow() > deadline_ + kMaxLateness) {
        return EndEndlessAnswer(choice, stream, "the answer does not end");
      }
      if (!body.Append(*bytes)) {
        return EndEndlessAnswer(choice, stream, "the answer is too long");
      }
      continue;
    }
    if (const auto* error = std::get_if<net::HttpError>(&piece)) {
      return EvaluateError(choice, *error);
    }
    break;
  }
  ReportCompletion();
  const net::HttpResponseHead& head = stream.head();
  if (head.status >= net::status::kServerError) {
    FinishSend(choice, TargetOutcome::kFailed);
    failure_ = net::HttpResponse{MakeCallerHead(head), body.ToString()};
    return NotServed{SendResult::kFailed,
                     "target answered " + std::to_string(head.status)};
  }
  FinishSend(choice, TargetOutcome::kGood);
  if (has_stream_started_) {
    return AnswerAborted{};
  }
  exchange_.Respond(MakeCallerHead(head), body.ToString());
  return Answered{};
}

RelayCall::SendOutcome RelayCall::EndEndlessAnswer(
    const traffic::Choice& choice,
    net::HttpClientStream& stream,
    const std::string& why) {
  stream.Cancel();
  FinishSend(choice, TargetOutcome::kFailed);
  send_log_ += " endless";
  return NotServed{SendResult::kUnknown, why};
}

bool RelayCall::MayRetry() {
  return state_.TryRetry(service_, SteadyNow());
}

Duration RelayCall::time_left() const {
  return std::max(deadline_ - SteadyNow(), Duration::zero());
}

// Bounded only by the time of the caller: a silent target may be part of a
// group that is stalled and will continue. ReviewTarget() cancels the send when
// there is more evidence against the target.
Duration RelayCall::wait_timeout() const {
  return std::max(time_left(), Milliseconds(1));
}

// Runs on the loop's dispatcher, which must not be suspended.
void RelayCall::OnCallerDisconnected() {
  caller_disconnected_ = true;
  CancelSend();
}

void RelayCall::EndForStop() {
  CancelSend();
}

void RelayCall::CancelSend() {
  if (open_stream_ != nullptr) {
    open_stream_->Cancel();
    return;
  }
  cancellation_->Cancel();
}

void RelayCall::FinishSend(const traffic::Choice& choice,
                           TargetOutcome outcome) {
  trace_.EndSend(choice.target.value(),
                 outcome == TargetOutcome::kGood ? "" : "not served");
  state_.targets.OnEnded(choice.target, outcome, SteadyNow());
}

}  // namespace bilberryspool::gateway
