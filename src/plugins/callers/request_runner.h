// Executes the actions of the request machine of one request.

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

// Runs in the fiber of the connection. Fibers that wait for holders and agents
// hold a reference to the runner and add events to its queue.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
 public:
  RequestRunner(CallerState& state,
                RequestContext& context,
                std::shared_ptr<CallerWatch> watch);

  // Returns when the final answer has been sent and the machine is done.
  void Run();

  // To be called when the time limit of a planned stop is reached.
  void Stop();
  // To be called after this process was stalled; see attempts::StallDetector.
  void OnStall();
  // To be called when the roster of holders has changed.
  void OnRosterChanged();

 private:
  using Event = attempts::RequestEvent;

  void Push(Event event);
  // Like Push(), but waits while the queue is full because the caller reads
  // more slowly than the engine writes.
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
  // The event that ends the attempt if the head carries no answer.
  std::optional<Event> EvaluateHead(const attempts::AttemptRef& attempt,
                                    const net::HttpResponseHead& head);
  net::HttpRequest MakeAttemptRequest(
      const attempts::StartAttempt& start) const;
  // Records the token and the load in the head of an answer.
  void RecordAgentHeaders(const TargetId& target,
                          const net::HttpResponseHead& head);
  // Reports the end of an attempt to the router.
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
  // A copy, as fibers may outlive the context.
  net::HttpRequest request_;
  net::HttpHeaders answer_headers_;
  std::map<AttemptId, std::shared_ptr<net::Cancellation>> cancellations_;
  bool is_finished_ = false;
  bool has_reported_disconnect_ = false;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_REQUEST_RUNNER_H_
