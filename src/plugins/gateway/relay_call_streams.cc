// RelayCall: answers that come as a series of events.

#include <algorithm>

#include "libs/net/steady_time.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using traffic::SendResult;
using traffic::TargetOutcome;

// The head goes to the caller with the first whole event: until then another
// target can still give the answer from its beginning. After that, where the
// stream may be resumed, another target goes on behind the last whole event
// under the head of the first.
RelayCall::SendOutcome RelayCall::RelayStream(const traffic::Choice& choice,
                                              net::HttpClientStream& stream) {
  splitter_.ForgetUnfinished();
  while (true) {
    net::StreamPiece piece = stream.Read(wait_timeout());
    if (const auto* bytes = std::get_if<std::string>(&piece)) {
      state_.targets.OnHeard(choice.target, SteadyNow());
      const std::string events = splitter_.Take(*bytes);
      if (!events.empty() && !RelayEvents(stream.head(), events)) {
        stream.Cancel();
        FinishSend(choice, TargetOutcome::kGood);
        return CallerDisconnected{};
      }
      continue;
    }
    if (const auto* error = std::get_if<net::HttpError>(&piece)) {
      return EvaluateError(choice, *error);
    }
    break;
  }
  if (!splitter_.unfinished().empty() || !has_stream_started_) {
    FinishSend(choice, TargetOutcome::kFailed);
    trail_ += " torn";
    if (HasTerminated(choice, net::HttpErrorKind::kClosed)) {
      ReportTermination(choice);
      trail_ += " ended";
    }
    return NotServed{SendResult::kUnknown, "the stream ended in an event"};
  }
  ReportCompletion();
  FinishSend(choice, TargetOutcome::kGood);
  return exchange_.EndStream() ? SendOutcome(Answered{})
                               : SendOutcome(CallerDisconnected{});
}

// False where the caller is gone.
bool RelayCall::RelayEvents(const net::HttpResponseHead& head,
                            const std::string& events) {
  const TimePoint now = SteadyNow();
  if (has_stream_started_) {
    max_pause_ = std::max(max_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
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
