// The part of RelayCall for answers that are event streams.

#include <algorithm>

#include "libs/net/steady_time.h"
#include "plugins/gateway/answer_room.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using traffic::SendResult;
using traffic::TargetOutcome;

namespace {

// An event holds a few tokens.
constexpr std::size_t kMaxEventBytes = 256UL * 1024;

}  // namespace

// The head is sent to the caller with the first complete event: until then
// another target can serve the answer from its beginning. After that, if the
// stream may be resumed, another target continues behind the last complete
// event and its own head is dropped.
RelayCall::SendOutcome RelayCall::RelayStream(const traffic::Choice& choice,
                                              net::HttpClientStream& stream) {
  splitter_.DiscardUnfinished();
  AnswerRoom room(state_.buffered_bytes, kMaxEventBytes);
  while (true) {
    net::StreamPiece piece = stream.Read(wait_timeout());
    if (const auto* bytes = std::get_if<std::string>(&piece)) {
      state_.targets.OnBytesReceived(choice.target, SteadyNow());
      state_.prober.OnBytesReceived(choice.target, SteadyNow());
      const std::string events = splitter_.Take(*bytes);
      if (!events.empty() && !RelayEvents(stream.head(), events)) {
        stream.Cancel();
        FinishSend(choice, TargetOutcome::kGood);
        return CallerDisconnected{};
      }
      if (!room.Resize(splitter_.unfinished_bytes())) {
        return EndEndlessAnswer(choice, stream, "an event is too long");
      }
      continue;
    }
    if (const auto* error = std::get_if<net::HttpError>(&piece)) {
      return EvaluateError(choice, *error);
    }
    break;
  }
  if (splitter_.unfinished_bytes() > 0 || !has_stream_started_) {
    FinishSend(choice, TargetOutcome::kFailed);
    send_log_ += " torn";
    if (HasTerminated(choice, net::HttpErrorKind::kClosed)) {
      ReportTermination(choice);
      send_log_ += " ended";
    }
    return NotServed{SendResult::kUnknown, "the stream ended in an event"};
  }
  ReportCompletion();
  FinishSend(choice, TargetOutcome::kGood);
  return exchange_.EndStream() ? SendOutcome(Answered{})
                               : SendOutcome(CallerDisconnected{});
}

// Only where requests may be refused because others are more urgent.
void RelayCall::RecordPause(Duration pause) {
  const traffic::ServiceDemands& demands = routes_->DemandsOf(service_);
  const auto& services = routes_->configuration().services;
  const auto found = services.find(service_);
  if (!demands.has_urgent_routes || found == services.end() ||
      !found->second.engine.has_value()) {
    return;
  }
  const traffic::EngineModel& engine = *found->second.engine;
  state_.stream_pauses.OnPause(
      service_, pause,
      {demands.shortest_gap, engine.step * engine.tokens_per_event});
}

bool RelayCall::RelayEvents(const net::HttpResponseHead& head,
                            const std::string& events) {
  const TimePoint now = SteadyNow();
  if (has_stream_started_) {
    max_pause_ = std::max(max_pause_, now - last_event_at_);
  }
  if (send_first_event_at_.has_value()) {
    RecordPause(now - last_event_at_);
  }
  last_event_at_ = now;
  send_first_event_at_ = send_first_event_at_.value_or(now);
  if (!has_stream_started_) {
    has_stream_started_ = true;
    first_event_at_ = now;
    if (!exchange_.BeginStream(MakeCallerHead(head))) {
      return false;
    }
  }
  return exchange_.WritePiece(events);
}

}  // namespace bilberryspool::gateway
