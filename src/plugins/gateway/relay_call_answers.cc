// The part of RelayCall that answers the caller where no target has.

#include <algorithm>
#include <string>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using traffic::RelayStep;

namespace {

// Used if it is not known when a target will have capacity.
constexpr Duration kDefaultRetryAfter = Milliseconds(1000);

// Lower bound of the delay after which a caller is asked to retry.
constexpr Duration kMinRetryAfter = Milliseconds(100);
std::string ToSecondsText(Duration duration) {
  const auto ms = duration.count() / 1000;
  const std::string part = std::to_string(1000 + ms % 1000).substr(1);
  return std::to_string(ms / 1000) + "." + part;
}

}  // namespace

void RelayCall::AnswerNoTarget(traffic::NoChoice reason) {
  if (has_stream_started_) {
    exchange_.AbortStream();
    Finish("broken_off", "no target to go on at");
    return;
  }
  if (failure_.has_value()) {
    AnswerStep(RelayStep::kForwardFailure, "no other target");
    return;
  }
  if (may_have_run_ && !match_.route->may_repeat()) {
    Fail(net::status::kBadGateway, "no other target");
    return;
  }
  switch (reason) {
    case traffic::NoChoice::kNone:
      Refuse(kDefaultRetryAfter, "no target");
      return;
    case traffic::NoChoice::kEvacuated:
      Refuse(RetryAfter(), "all targets are in evacuated failure domains");
      return;
    case traffic::NoChoice::kCold:
      RefuseCold();
      return;
    case traffic::NoChoice::kFull:
      RefuseFull();
      return;
    case traffic::NoChoice::kPaused:
      if (!RefuseIfAllPaused()) {
        Refuse(RetryAfter(), "all other targets asked for a pause");
      }
      return;
    case traffic::NoChoice::kInCooldown:
      Refuse(RetryAfter(), "all targets failed lately");
      return;
  }
}

void RelayCall::AnswerStep(RelayStep step, const std::string& reason) {
  if (has_stream_started_) {
    exchange_.AbortStream();
    Finish("broken_off", reason);
    return;
  }
  switch (step) {
    case RelayStep::kForwardFailure:
      exchange_.Respond(failure_->head, failure_->body);
      Finish("target_failed", reason);
      return;
    case RelayStep::kRefuse:
      if (!RefuseIfAllPaused()) {
        Refuse(RetryAfter(), reason);
      }
      return;
    case RelayStep::kFailTimeout:
      Fail(net::status::kGatewayTimeout, reason);
      return;
    case RelayStep::kFail:
    case RelayStep::kRetry:
      Fail(net::status::kBadGateway, reason);
      return;
  }
}

// Callers retry once and accept a delay of up to a third of their time. The
// reasons for a refusal, such as a group that forms again, a queue that drains
// or a restart of all processes, last for seconds, so most of that third is
// used.
Duration RelayCall::RetryAfter() {
  constexpr double kMinShare = 0.3;
  constexpr double kMaxShare = 0.33;
  const double share =
      kMinShare + (kMaxShare - kMinShare) * state_.random.Fraction();
  const Duration wait_timeout = head_.wait_timeout.value_or(kDefaultTimeout);
  const double left = ToSeconds(
      std::max(wait_timeout - (SteadyNow() - arrived_), Duration::zero()));
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Microseconds(
      static_cast<std::int64_t>(left * share * kMicrosecondsPerSecond));
}

void RelayCall::Refuse(Duration retry_after, std::string_view reason) {
  net::HttpResponseHead head;
  head.status = net::status::kUnavailable;
  head.headers.Add("Content-Type", "text/plain");
  head.headers.Add("Retry-After", ToSecondsText(retry_after));
  exchange_.Respond(std::move(head), "not run; come back later\n");
  Finish("refused", reason);
}

void RelayCall::Fail(int status, std::string_view reason) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain");
  exchange_.Respond(std::move(head), std::string(reason) + "\n");
  Finish("failed_" + std::to_string(status), reason);
}

void RelayCall::Finish(std::string_view outcome, std::string_view reason) {
  const TimePoint now = SteadyNow();
  state_.stats.RecordRequest(service_, outcome, TimesAt(now));
  trace_.End(head_.request_id, std::string(outcome));
  state_.log.Info(
      "Request.",
      {{"id", head_.request_id},
       {"outcome", outcome},
       {"why", reason},
       {"route", match_.route == nullptr ? "" : match_.route->name},
       {"service", service_.value()},
       {"urgency", urgency_rank_},
       {"content", fingerprint_.ToText()},
       {"sends", sends_},
       {"trail", send_log_},
       {"version", routes_ == nullptr ? 0 : routes_->configuration().version},
       {"first_ms", first_event_at_ == TimePoint{}
                        ? -1
                        : (first_event_at_ - arrived_).count() / 1000},
       {"pause_ms", max_pause_.count() / 1000},
       {"ms", (now - arrived_).count() / 1000}});
}

RequestTimes RelayCall::TimesAt(TimePoint now) const {
  RequestTimes times;
  times.total = now - arrived_;
  if (first_event_at_ != TimePoint{}) {
    times.first_event = first_event_at_ - arrived_;
    times.max_pause = max_pause_;
  }
  return times;
}

void RelayCall::RefuseFull() {
  const auto wait = state_.targets.TimeUntilWithinLimit(service_, SteadyNow());
  if (!wait.has_value()) {
    Refuse(RetryAfterFull(), "all targets full");
    return;
  }
  Refuse(std::clamp(*wait, kMinRetryAfter, RetryAfter()),
         "all targets have as much as their limits allow");
}

// Other gateways can serve the caller at once.
void RelayCall::RefuseStopping() {
  Refuse(kMinRetryAfter, "the gateway stops");
}

void RelayCall::RefuseCold() {
  const auto wait = state_.targets.TimeUntilColdStart(service_, SteadyNow());
  Refuse(std::clamp(wait.value_or(RetryAfter()), kMinRetryAfter,
                    std::max(kMinRetryAfter, RetryAfter())),
         "all other targets may be cold and have had their share");
}

Duration RelayCall::RetryAfterFull() {
  const auto paused = state_.targets.PausedTargetsOf(service_, SteadyNow());
  const Duration retry_after = RetryAfter();
  if (paused.count == 0) {
    return retry_after;
  }
  return std::min(retry_after, traffic::RetryAfterPause(paused.first_end_after,
                                                        state_.random));
}

bool RelayCall::RefuseIfAllPaused() {
  const auto paused = state_.targets.PausedTargetsOf(service_, SteadyNow());
  if (paused.count == 0 || !paused.are_all) {
    return false;
  }
  Refuse(traffic::RetryAfterPause(paused.first_end_after, state_.random),
         "all targets asked for a pause");
  return true;
}

}  // namespace bilberryspool::gateway
