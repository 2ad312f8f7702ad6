#include "plugins/gateway/relay_call.h"

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using traffic::RelayStep;
using traffic::SendResult;
using traffic::TargetOutcome;

namespace {

// Where nothing else tells when a place will be free.
constexpr Duration kComeBack = Milliseconds(1000);

// What is kept back of a caller's time for the answer: a few ways to the
// caller, 1 to 3 ms each, and the turn of a busy process.
constexpr Duration kAnswerTime = Milliseconds(50);

// A request whose caller names no time and whose route is unknown yet.
constexpr Duration kDefaultPatience = Seconds(8);

bool IsEventStream(const net::HttpResponseHead& head) {
  return head.headers.ValueOr("Content-Type", "")
      .starts_with("text/event-stream");
}

std::string ToSecondsText(Duration duration) {
  const auto ms = duration.count() / 1000;
  const std::string part = std::to_string(1000 + ms % 1000).substr(1);
  return std::to_string(ms / 1000) + "." + part;
}

}  // namespace

RelayCall::RelayCall(GatewayState& state, net::HttpExchange& exchange)
    : state_(state),
      exchange_(exchange),
      arrived_(SteadyNow()),
      give_up_at_(arrived_ + kDefaultPatience),
      head_(ReadHead(exchange.request(), state.dialect)),
      routes_(state.routes),
      trace_(state.tracing, exchange.request().headers, state.random),
      cancellation_(std::make_shared<net::Cancellation>()) {}

void RelayCall::Run() {
  ++state_.requests_in_progress;
  if (Admit()) {
    exchange_.NotifyOnDisconnect([this] { OnCallerLeft(); });
    Relay();
  }
  --state_.requests_in_progress;
}

// Finds the route; answers where there is none.
bool RelayCall::Admit() {
  if (routes_ == nullptr) {
    Refuse(kComeBack, "no configuration yet");
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
  give_up_at_ =
      arrived_ + std::min(match_.route->timeout,
                          head_.patience.value_or(match_.route->timeout));
  service_ = traffic::ChooseService(*match_.route, state_.random.Fraction());
  fingerprint_ = Fingerprint();
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
  state_.BudgetOf(service_).OnFirstAttempt(Workspace(), arrived_);
  while (true) {
    if (!AwaitGroup()) {
      Finish("caller_left", "while the group was forming");
      return;
    }
    if (!AwaitLeave()) {
      return;
    }
    state_.grants.Prepare(service_, tried_);
    const auto chosen = state_.targets.Choose(service_, tried_, SteadyNow());
    if (const auto* why = std::get_if<traffic::NoChoice>(&chosen)) {
      EndTrial();
      AnswerNoTarget(*why);
      return;
    }
    const auto& choice = std::get<traffic::Choice>(chosen);
    tried_.insert(choice.target);
    ++sends_;
    const SendOutcome outcome = SendTo(choice);
    EndTrial();
    if (std::holds_alternative<Answered>(outcome)) {
      Finish("served", "");
      return;
    }
    if (std::holds_alternative<CallerLeft>(outcome) || caller_left_) {
      Finish("caller_left", "");
      return;
    }
    if (std::holds_alternative<BrokenOff>(outcome)) {
      exchange_.AbortStream();
      Finish("broken_off", "");
      return;
    }
    const auto& failed = std::get<NotServed>(outcome);
    const RelayStep step = StepAfter(failed);
    if (step != RelayStep::kSendAgain) {
      AnswerStep(step, failed.why);
      return;
    }
  }
}

// Callers of a group that is about to form wait for it: refused now, they would
// come back seconds later. False where the caller has left.
bool RelayCall::AwaitGroup() {
  // A group that fails to form is no reason to keep anyone waiting. Two ranks
  // that return one after the other took 1.06 s; of 2,207 requests that waited
  // 1,887 were served and 99 refused, after 0.54 s at most.
  constexpr Duration kLongestWait = Milliseconds(1200);
  const TimePoint began = SteadyNow();
  const TimePoint limit =
      std::min(began + kLongestWait, give_up_at_ - kAnswerTime);
  while (!caller_left_ && SteadyNow() < limit &&
         state_.targets.OutlookOf(service_, SteadyNow()) ==
             traffic::Outlook::kForming) {
    state_.news.WaitUntil(
        std::min(limit, state_.targets.forms_until(service_)));
  }
  const auto waited = (SteadyNow() - began) / Milliseconds(1);
  if (waited > 0) {
    trail_ += "(waited " + std::to_string(waited) + " ms for the group)";
  }
  return !caller_left_;
}

RelayStep RelayCall::StepAfter(const NotServed& failed) {
  traffic::RelayState relay;
  relay.may_repeat = match_.route->may_repeat();
  relay.last = failed.result;
  relay.may_have_run_before = may_have_run_;
  relay.sends = sends_;
  relay.allowed_sends = match_.route->attempts;
  relay.time_left = time_left();
  // All ranks of a broken group refuse alike.
  if (failed.result == SendResult::kNotExecuted &&
      state_.targets.OutlookOf(service_, SteadyNow()) ==
          traffic::Outlook::kBroken) {
    trail_ += "(group broken)";
    relay.allowed_sends = sends_;
  }
  if (has_lost_target_) {
    relay.allowed_sends = sends_;
  }
  RelayStep step = traffic::NextStep(relay);
  const bool has_retry = std::exchange(has_retry_, false);
  if (step == RelayStep::kSendAgain && failed.result != SendResult::kNotSent &&
      !has_retry && !MayRetry()) {
    trail_ += "(budget)";
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
  trail_ += (trail_.empty() ? "" : ";") + choice.target.value() + "@" +
            choice.address +
            " load=" + std::to_string(static_cast<int>(choice.load)) + "/" +
            std::to_string(choice.slots);
  ForwardedHead forwarded;
  if (match_.holder != nullptr) {
    forwarded.workspace = match_.holder->workspace.value();
  }
  forwarded.target = choice.target.value();
  forwarded.time_left = time_left();
  forwarded.priority = match_.priority;
  if (has_begun_ && splitter_.last_id().has_value()) {
    forwarded.last_event_id = *splitter_.last_id();
  }
  const auto endpoint = net::ParseEndpoint(choice.address);
  if (!endpoint.has_value()) {
    EndAt(choice, TargetOutcome::kFailed);
    return NotServed{SendResult::kNotSent, "no address"};
  }
  asked_ = choice.target;
  has_left_target_ = false;
  cancellation_ = std::make_shared<net::Cancellation>();
  state_.waiting.insert(this);
  SendOutcome outcome = Send(choice, *endpoint, forwarded);
  state_.waiting.erase(this);
  return outcome;
}

RelayCall::SendOutcome RelayCall::Send(const traffic::Choice& choice,
                                       const net::Endpoint& endpoint,
                                       const ForwardedHead& forwarded) {
  const TimePoint sent_at = SteadyNow();
  net::HttpRequest request =
      MakeTargetRequest(exchange_.request(), forwarded, state_.dialect);
  trace_.StartSend(request);
  auto opened =
      state_.client.Open(endpoint, request, patience(), cancellation_);
  if (const auto* error = std::get_if<net::HttpError>(&opened)) {
    return Judge(choice, *error);
  }
  auto& stream = *std::get<std::unique_ptr<net::HttpClientStream>>(opened);
  open_stream_ = &stream;
  SendOutcome outcome = JudgeHead(choice, stream.head());
  if (const auto* failed = std::get_if<NotServed>(&outcome);
      failed == nullptr) {
    state_.targets.OnFirstByte(choice.target, SteadyNow() - sent_at,
                               SteadyNow());
    const bool is_stream = match_.route->kind == traffic::RequestKind::kStream;
    outcome = is_stream && IsEventStream(stream.head())
                  ? TakeStream(choice, stream)
                  : TakeWhole(choice, stream);
  }
  open_stream_ = nullptr;
  return outcome;
}

// No head came.
RelayCall::SendOutcome RelayCall::Judge(const traffic::Choice& choice,
                                        const net::HttpError& error) {
  if (caller_left_) {
    // Its caller's patience says nothing of a target, its own silence does.
    const bool is_silent = state_.targets.IsSuspect(choice.target, SteadyNow());
    EndAt(choice, is_silent ? TargetOutcome::kFailed : TargetOutcome::kGood);
    return CallerLeft{};
  }
  if (has_lost_target_) {
    EndAt(choice, TargetOutcome::kFailed);
    trail_ += " left:missing";
    return NotServed{SendResult::kUnknown, "the target answers nobody"};
  }
  if (has_left_target_) {
    // A slow target has not failed.
    EndAt(choice, has_retry_ ? TargetOutcome::kGood : TargetOutcome::kFailed);
    const std::string why = has_retry_ ? "slow" : "silent";
    trail_ += " left:" + why;
    return NotServed{SendResult::kUnknown, "left a target that is " + why};
  }
  EndAt(choice, TargetOutcome::kFailed);
  const bool is_unsent = error.kind == net::HttpErrorKind::kConnect;
  const bool has_ended = HasEnded(choice, error.kind);
  if (has_ended) {
    NoteEnd(choice);
  }
  trail_ += is_unsent ? " unreachable" : " no_head:" + error.text;
  trail_ += has_ended ? " ended" : "";
  return NotServed{is_unsent ? SendResult::kNotSent : SendResult::kUnknown,
                   error.text};
}

bool RelayCall::HasEnded(const traffic::Choice& choice,
                         net::HttpErrorKind kind) {
  const auto endpoint = net::ParseEndpoint(choice.address);
  return kind == net::HttpErrorKind::kClosed && endpoint.has_value() &&
         state_.ends.HasEnded(choice.target, *endpoint);
}

// Answered{} stands for a head that is fit to be followed by its body.
RelayCall::SendOutcome RelayCall::JudgeHead(const traffic::Choice& choice,
                                            const net::HttpResponseHead& head) {
  const traffic::WireDialect& dialect = state_.dialect;
  const TimePoint now = SteadyNow();
  if (const auto text = head.headers.Find(dialect.load)) {
    if (const auto load = ReadLoad(*text)) {
      state_.targets.OnLoad(choice.target, load->running, load->waiting, now);
    }
  }
  HearLimit(choice, head);
  trail_ += " " + std::to_string(head.status);
  const bool is_refusal = head.headers.Find(dialect.not_executed).has_value();
  if (head.status == net::status::kMisdirected || is_refusal) {
    const bool is_replaced = head.status == net::status::kMisdirected;
    EndAt(choice,
          is_replaced ? TargetOutcome::kReplaced : TargetOutcome::kFull);
    trail_ += " not_executed";
    if (const auto at_fault = head.headers.Find(dialect.at_fault)) {
      trail_ += " at=" + std::string(*at_fault);
    }
    return NotServed{SendResult::kNotExecuted, "target refused"};
  }
  const auto id = head.headers.Find(dialect.request_id);
  if (id.has_value() && *id != head_.request_id) {
    EndAt(choice, TargetOutcome::kFailed);
    trail_ += " other_answer";
    return NotServed{SendResult::kUnknown, "another request's answer"};
  }
  if (net::status::IsSuccess(head.status) &&
      !head.headers.Find(dialect.signature)) {
    EndAt(choice, TargetOutcome::kFailed);
    trail_ += " unsigned";
    return NotServed{SendResult::kUnknown, "no signature"};
  }
  return Answered{};
}

RelayCall::SendOutcome RelayCall::TakeWhole(const traffic::Choice& choice,
                                            net::HttpClientStream& stream) {
  std::string body;
  while (true) {
    net::StreamPiece piece = stream.Read(patience());
    if (const auto* bytes = std::get_if<std::string>(&piece)) {
      body += *bytes;
      continue;
    }
    if (const auto* error = std::get_if<net::HttpError>(&piece)) {
      return Judge(choice, *error);
    }
    break;
  }
  NoteCompleted();
  const net::HttpResponseHead& head = stream.head();
  if (head.status >= net::status::kServerError) {
    EndAt(choice, TargetOutcome::kFailed);
    failure_ = net::HttpResponse{MakeCallerHead(head), std::move(body)};
    return NotServed{SendResult::kFailed,
                     "target answered " + std::to_string(head.status)};
  }
  EndAt(choice, TargetOutcome::kGood);
  if (has_begun_) {
    return BrokenOff{};
  }
  exchange_.Respond(MakeCallerHead(head), body);
  return Answered{};
}

void RelayCall::AnswerNoTarget(traffic::NoChoice why) {
  if (has_begun_) {
    exchange_.AbortStream();
    Finish("broken_off", "no target to go on at");
    return;
  }
  if (failure_.has_value()) {
    AnswerStep(RelayStep::kPassFailureOn, "no other target");
    return;
  }
  if (may_have_run_ && !match_.route->may_repeat()) {
    Fail(net::status::kBadGateway, "no other target");
    return;
  }
  switch (why) {
    case traffic::NoChoice::kNone:
      Refuse(kComeBack, "no target");
      return;
    case traffic::NoChoice::kFull:
      RefuseFull();
      return;
    case traffic::NoChoice::kResting:
      Refuse(ComeBackLater(), "all targets failed lately");
      return;
  }
}

void RelayCall::AnswerStep(RelayStep step, const std::string& why) {
  if (has_begun_) {
    exchange_.AbortStream();
    Finish("broken_off", why);
    return;
  }
  switch (step) {
    case RelayStep::kPassFailureOn:
      exchange_.Respond(failure_->head, failure_->body);
      Finish("target_failed", why);
      return;
    case RelayStep::kRefuse:
      Refuse(ComeBackLater(), why);
      return;
    case RelayStep::kFailInTime:
      Fail(net::status::kGatewayTimeout, why);
      return;
    case RelayStep::kFail:
    case RelayStep::kSendAgain:
      Fail(net::status::kBadGateway, why);
      return;
  }
}

// Callers come back once and honour up to a third of their time. What refuses
// them now, a group that forms anew or a queue that drains, takes seconds, so
// they are asked to use most of that third.
Duration RelayCall::ComeBackLater() {
  constexpr double kEarliest = 0.3;
  constexpr double kLatest = 0.33;
  const double share =
      kEarliest + (kLatest - kEarliest) * state_.random.Fraction();
  const Duration patience = head_.patience.value_or(kDefaultPatience);
  const double left = ToSeconds(
      std::max(patience - (SteadyNow() - arrived_), Duration::zero()));
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Microseconds(
      static_cast<std::int64_t>(left * share * kMicrosecondsPerSecond));
}

void RelayCall::Refuse(Duration come_back, std::string_view why) {
  net::HttpResponseHead head;
  head.status = net::status::kUnavailable;
  head.headers.Add("Content-Type", "text/plain");
  head.headers.Add("Retry-After", ToSecondsText(come_back));
  exchange_.Respond(std::move(head), "not run; come back later\n");
  Finish("refused", why);
}

void RelayCall::Fail(int status, std::string_view why) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain");
  exchange_.Respond(std::move(head), std::string(why) + "\n");
  Finish("failed_" + std::to_string(status), why);
}

void RelayCall::Finish(std::string_view outcome, std::string_view why) {
  const TimePoint now = SteadyNow();
  state_.figures.Note(service_, outcome, TimesAt(now));
  trace_.End(head_.request_id, std::string(outcome));
  state_.log.Info(
      "Request.",
      {{"id", head_.request_id},
       {"outcome", outcome},
       {"why", why},
       {"route", match_.route == nullptr ? "" : match_.route->name},
       {"service", service_.value()},
       {"content", fingerprint_.ToText()},
       {"sends", sends_},
       {"trail", trail_},
       {"version", routes_ == nullptr ? 0 : routes_->configuration().version},
       {"first_ms", first_event_at_ == TimePoint{}
                        ? -1
                        : (first_event_at_ - arrived_).count() / 1000},
       {"pause_ms", longest_pause_.count() / 1000},
       {"ms", (now - arrived_).count() / 1000}});
}

RequestTimes RelayCall::TimesAt(TimePoint now) const {
  RequestTimes times;
  times.whole = now - arrived_;
  if (first_event_at_ != TimePoint{}) {
    times.first_event = first_event_at_ - arrived_;
    times.longest_pause = longest_pause_;
  }
  return times;
}

bool RelayCall::MayRetry() {
  return state_.BudgetOf(service_).TryRetry(Workspace(), SteadyNow());
}

Duration RelayCall::time_left() const {
  return std::max(give_up_at_ - SteadyNow(), Duration::zero());
}

// Silence alone is no reason to end an answer sooner: a group that stands still
// goes on. ReviewTarget() knows more.
Duration RelayCall::patience() const {
  return std::max(time_left(), Milliseconds(1));
}

// Runs on the loop's dispatcher, which must not be suspended.
void RelayCall::OnCallerLeft() {
  caller_left_ = true;
  BreakOff();
}

void RelayCall::BreakOff() {
  if (open_stream_ != nullptr) {
    open_stream_->Cancel();
    return;
  }
  cancellation_->Cancel();
}

void RelayCall::ReviewTarget(TimePoint now) {
  if (!caller_left_ && !has_lost_target_ && IsTargetLost(now)) {
    has_lost_target_ = true;
    BreakOff();
    return;
  }
  const bool may_move_on =
      match_.route->may_repeat() && sends_ < match_.route->attempts;
  if (!may_move_on || caller_left_ || has_left_target_) {
    return;
  }
  if (IsTargetSilent(now)) {
    LeaveTarget();
    return;
  }
  // A stream that a slow target still serves must not end for want of a retry.
  if (state_.targets.ShouldBeLeft(asked_, tried_, now) && MayRetry()) {
    has_retry_ = true;
    LeaveTarget();
  }
}

void RelayCall::LeaveTarget() {
  has_left_target_ = true;
  BreakOff();
}

bool RelayCall::IsTargetSilent(TimePoint now) const {
  return state_.targets.IsSuspect(asked_, now) || IsConnectionSilent(now);
}

// The target may be well and only this connection dead: it carries nothing
// more, and neither end is told. Callers leave after two seconds without an
// event; going on elsewhere before that saves the stream.
bool RelayCall::IsConnectionSilent(TimePoint now) const {
  constexpr Duration kLongestSilence = Milliseconds(1600);
  return has_begun_ && now - last_event_at_ > kLongestSilence &&
         state_.targets.HasGoneOn(service_, last_event_at_, now);
}

bool RelayCall::IsTargetLost(TimePoint now) const {
  const TimePoint waits_since = has_begun_ ? last_event_at_ : arrived_;
  return traffic::IsTargetLost(
      {now - waits_since, state_.targets.IsMissing(asked_)});
}

void RelayCall::EndAt(const traffic::Choice& choice, TargetOutcome outcome) {
  trace_.EndSend(choice.target.value(),
                 outcome == TargetOutcome::kGood ? "" : "not served");
  state_.targets.OnEnded(choice.target, outcome, SteadyNow());
}

}  // namespace bilberryspool::gateway
