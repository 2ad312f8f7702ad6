#include "plugins/callers/final_answer.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "libs/net/http_status.h"
#include "plugins/callers/request_headers.h"

namespace bilberryspool::callers {

namespace json = boost::json;
using attempts::FinalKind;
using attempts::FinalReason;

namespace {

int StatusOf(FinalKind kind, FinalReason reason) {
  switch (reason) {
    case FinalReason::kInProgress:
    case FinalReason::kAnswerNotKept:
      return net::status::kConflict;
    case FinalReason::kBodyMismatch:
      return net::status::kUnprocessable;
    case FinalReason::kDeadline:
      return net::status::kGatewayTimeout;
    default:
      return kind == FinalKind::kUnknown ? net::status::kBadGateway
                                         : net::status::kUnavailable;
  }
}

int StatusOf(limits::RefusalReason reason) {
  switch (reason) {
    case limits::RefusalReason::kRequestRate:
    case limits::RefusalReason::kTokenBudget:
      return net::status::kTooManyRequests;
    default:
      return net::status::kUnavailable;
  }
}

std::string_view MessageFor(FinalKind kind) {
  switch (kind) {
    case FinalKind::kAnswered:
      return "The request was answered.";
    case FinalKind::kNotRun:
      return "The request did not run. It is safe to send it again.";
    case FinalKind::kUnknown:
      return "The request may have run. Only the same Idempotency-Key is safe "
             "to send again.";
  }
  return "";
}

}  // namespace

std::string_view ToString(FinalKind kind) {
  switch (kind) {
    case FinalKind::kAnswered:
      return "answered";
    case FinalKind::kNotRun:
      return "not-run";
    case FinalKind::kUnknown:
      return "unknown";
  }
  return "";
}

std::string_view ToString(FinalReason reason) {
  switch (reason) {
    case FinalReason::kFinished:
      return "finished";
    case FinalReason::kEarlierAnswer:
      return "earlier-answer";
    case FinalReason::kAnswerNotKept:
      return "answer-not-kept";
    case FinalReason::kInProgress:
      return "in-progress";
    case FinalReason::kNoTarget:
      return "no-target";
    case FinalReason::kRefusedByTargets:
      return "refused-by-targets";
    case FinalReason::kClaimUnavailable:
      return "claim-unavailable";
    case FinalReason::kBodyMismatch:
      return "body-mismatch";
    case FinalReason::kTargetLost:
      return "target-lost";
    case FinalReason::kFailedByTarget:
      return "failed-by-target";
    case FinalReason::kStreamBroken:
      return "stream-broken";
    case FinalReason::kDeadline:
      return "deadline";
    case FinalReason::kStopping:
      return "stopping";
    case FinalReason::kEntryStalled:
      return "entry-stalled";
  }
  return "";
}

FinalAnswer MakeFinalAnswer(const attempts::AnswerCaller& answer) {
  FinalAnswer final_answer;
  final_answer.kind = answer.kind;
  final_answer.status = StatusOf(answer.kind, answer.reason);
  final_answer.reason = ToString(answer.reason);
  final_answer.retry_after = answer.retry_after;
  return final_answer;
}

FinalAnswer MakeFinalAnswer(const limits::Refuse& refusal) {
  FinalAnswer final_answer;
  final_answer.status = StatusOf(refusal.reason);
  final_answer.reason = limits::ToString(refusal.reason);
  final_answer.retry_after = refusal.retry_after;
  return final_answer;
}

FinalAnswer MakeRejection(int status, std::string reason) {
  FinalAnswer final_answer;
  final_answer.status = status;
  final_answer.reason = std::move(reason);
  return final_answer;
}

bool Respond(net::HttpExchange& exchange, const FinalAnswer& answer) {
  net::HttpResponseHead head;
  head.status = answer.status;
  head.headers.Add("Content-Type", "application/json");
  head.headers.Add(std::string(kOutcomeHeader),
                   std::string(ToString(answer.kind)));
  head.headers.Add(std::string(kReasonHeader), answer.reason);
  json::object error{{"outcome", ToString(answer.kind)},
                     {"reason", answer.reason},
                     {"message", MessageFor(answer.kind)}};
  if (answer.retry_after > Duration::zero()) {
    // Retry-After counts whole seconds; the header field in milliseconds is for
    // the clients of this system.
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after)
            .count();
    head.headers.Add(std::string(kRetryAfterHeader), std::to_string(seconds));
    head.headers.Add(std::string(kRetryAfterMsHeader),
                     std::to_string(milliseconds));
    error["retry_after_ms"] = milliseconds;
  }
  return exchange.Respond(std::move(head),
                          json::serialize(json::object{{"error", error}}));
}

}  // namespace bilberryspool::callers
