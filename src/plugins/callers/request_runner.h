// Carries out what the machine of one request asks for.

#ifndef PLUGINS_CALLERS_REQUEST_RUNNER_H_
#define PLUGINS_CALLERS_REQUEST_RUNNER_H_

#include <deque>
#include <memory>
#include <optional>

#include "libs/attempts/request_machine.h"
#include "libs/net/cancellation.h"
#include "libs/net/fiber_signal.h"
#include "plugins/callers/caller_state.h"
#include "plugins/callers/caller_watch.h"
#include "plugins/callers/request_context.h"

namespace bilberryspool::callers {

// Lives for one request in the fiber of its connection. Fibers that wait for
// holders and agents hold a reference and put events into the queue.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
 public:
  RequestRunner(CallerState& state,
                RequestContext& context,
                std::shared_ptr<CallerWatch> watch);

  // Returns once the final answer is out and the machine is done.
  void Run();

  // The stated limit of a planned stop is reached.
  void Stop();
  // This entry stood still; see attempts::StallDetector.
  void OnStall();
  // The entry has learned of another roster of holders.
  void OnRosterChanged();

 private:
  using Event = attempts::RequestEvent;

  void Push(Event event);
  // As Push, but waits while the caller takes more slowly than the engine
  // gives.
  void PushBounded(Event event);
  Event NextEvent();
  void HandleEvent(const Event& event);
  void Execute(const attempts::RequestAction& action);

  void On(const attempts::SendClaim& action);
  void On(const attempts::Route& action);
  void On(const attempts::SendAttempt& action);
  void On(const attempts::RelayHead& action);
  void On(const attempts::RelayChunk& action);
  void On(const attempts::SendSettle& action);
  void On(const attempts::ResumeAttempt& action);
  void On(const attempts::CancelAttempt& action);
  void On(const attempts::AnswerCaller& action);
  void On(const attempts::SendRelease& action);
  void On(const attempts::SendFinish& action);

  void LogAbstention(const attempts::ClaimAnswer& answer);
  void ReportChoice(const routing::Choice& choice);
  Event ChooseTarget(std::vector<TargetId> excluded);
  void RunAttempt(const attempts::StartAttempt& start);
  void RunResume(const attempts::AttemptRef& attempt, std::uint64_t offset);
  void ReadAnswer(const attempts::AttemptRef& attempt,
                  net::HttpClientStream& stream,
                  std::uint64_t offset);
  // The end of the attempt where the head shows that there is no answer.
  std::optional<Event> EvaluateHead(const attempts::AttemptRef& attempt,
                                    const net::HttpResponseHead& head);
  net::HttpRequest MakeAttemptRequest(
      const attempts::StartAttempt& start) const;
  void RecordAgentHeaders(const TargetId& target,
                          const net::HttpResponseHead& head);
  void ReportAttemptEnd(const AttemptId& attempt,
                        routing::AttemptOutcome outcome);
  void OnWritten(bool is_written);

  CallerState& state_;
  RequestContext& context_;
  std::shared_ptr<CallerWatch> watch_;
  attempts::RequestMachine machine_;
  std::deque<Event> events_;
  net::FiberSignal event_added_;
  net::FiberSignal event_taken_;
  // Copied, since fibers may outlive the context.
  net::HttpRequest request_;
  net::HttpHeaders answer_headers_;
  std::map<AttemptId, std::shared_ptr<net::Cancellation>> cancellations_;
  bool is_finished_ = false;
  bool has_reported_disconnect_ = false;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_REQUEST_RUNNER_H_
