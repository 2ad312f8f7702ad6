// Serves one request of a caller: finds its route, chooses a target, sends the
// request, and relays the answer or decides how to proceed.

#ifndef PLUGINS_GATEWAY_RELAY_CALL_H_
#define PLUGINS_GATEWAY_RELAY_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/net/cancellation.h"
#include "libs/net/http_server.h"
#include "libs/quarantine/request_fingerprint.h"
#include "libs/traffic/event_splitter.h"
#include "libs/traffic/relay_rules.h"
#include "plugins/gateway/gateway_state.h"
#include "plugins/gateway/request_head.h"

namespace bilberryspool::gateway {

// Runs in the fiber of the caller's connection.
class RelayCall {
 public:
  RelayCall(GatewayState& state, net::HttpExchange& exchange);

  void Run();

  // Cancels the present send if the request may be sent to another target and
  // the present one is silent, or is slow while another one has capacity. Also
  // gives up a target that is lost, and reports one that goes on answering.
  void ReviewTarget(TimePoint now);

  // Ends the present send, as the gateway stops. The caller gets an answer.
  void EndForStop();

 private:
  // The answer of a target was relayed completely.
  struct Answered {};
  // The caller has disconnected and gets no answer.
  struct CallerDisconnected {};
  // The answer was started and cannot be completed.
  struct AnswerAborted {};
  // The send failed. An error answer of the target is kept in `failure_`.
  struct NotServed {
    traffic::SendResult result;
    std::string reason;
  };
  // Who found that the target of a cancelled send is unresponsive.
  enum class LossReport { kControlNodes, kOwnProbes };
  using SendOutcome =
      std::variant<Answered, CallerDisconnected, AnswerAborted, NotServed>;

  // relay_call.cc
  // Finds the route and the service. Answers the caller and returns false if
  // there is none, or no time left to serve the request.
  bool Admit();
  // The identity of the request for the quarantine.
  quarantine::RequestFingerprint Fingerprint() const;
  void Relay();
  // Waits while the group of the service is forming. Returns false if the
  // caller has disconnected.
  bool AwaitGroup();
  // Whether the request is urgent enough for the load of its service. Refuses
  // it otherwise.
  bool PassUrgencyGate();
  // The target of the next send: the one that is reserved, or a new choice.
  traffic::ChoiceOutcome ChooseTarget();
  void ReleaseNextTarget();
  // The next step after a failed send.
  traffic::RelayStep StepAfter(const NotServed& failed);
  SendOutcome SendTo(const traffic::Choice& choice);
  SendOutcome Send(const traffic::Choice& choice,
                   const net::Endpoint& endpoint,
                   const ForwardedHead& forwarded);
  // The outcome of a send that ended with a connection error.
  SendOutcome EvaluateError(const traffic::Choice& choice,
                            const net::HttpError& error);
  // Whether the target has terminated, after its connection broke.
  bool HasTerminated(const traffic::Choice& choice, net::HttpErrorKind kind);
  // The outcome that the head of an answer implies; Answered if its body is to
  // be relayed.
  SendOutcome EvaluateHead(const traffic::Choice& choice,
                           const net::HttpResponseHead& head);
  SendOutcome RelayWholeAnswer(const traffic::Choice& choice,
                               net::HttpClientStream& stream);
  // Closes the connection of an answer that is longer, or takes longer, than
  // any sound one.
  SendOutcome EndEndlessAnswer(const traffic::Choice& choice,
                               net::HttpClientStream& stream,
                               const std::string& why);
  bool MayRetry();
  Duration time_left() const;
  // How long to wait for the next bytes of a target.
  Duration wait_timeout() const;
  void OnCallerDisconnected();
  void CancelSend();
  // Reports the outcome of a send to the trace and to the target pool.
  void FinishSend(const traffic::Choice& choice,
                  traffic::TargetOutcome outcome);

  // relay_call_review.cc
  bool IsTargetSilent(TimePoint now) const;
  bool IsConnectionSilent(TimePoint now) const;
  // Whether the target is unresponsive, so that a cancellation would not reach
  // it, and the caller is about to give up. Returns who found the target so.
  std::optional<LossReport> FindLoss(TimePoint now) const;
  // Takes a place at another target and charges the retry budget for it, if
  // both allow. A request must not leave a target that may still serve it
  // before that.
  bool ReserveNextTarget(TimePoint now);
  // Why a target was left for another one.
  enum class LeaveReason { kSlow, kSilent };
  void LeaveTarget(LeaveReason reason);

  // relay_call_answers.cc
  void AnswerNoTarget(traffic::NoChoice reason);
  void AnswerStep(traffic::RelayStep step, const std::string& reason);
  // Refuses a request because all targets are full or have reached their
  // limits.
  void RefuseFull();
  // Refuses a request that might not be answered before the gateway has
  // stopped.
  void RefuseStopping();
  // Refuses a request because targets that may be cold have had their share of
  // this gateway's requests.
  void RefuseCold();
  // If all targets have asked for a pause, refuses the request until the first
  // pause has ended, and returns true.
  bool RefuseIfAllPaused();
  // The delay after which a refused caller is asked to retry.
  Duration RetryAfter();
  // The same if some targets are full and the others, if any, paused.
  Duration RetryAfterFull();
  void Refuse(Duration retry_after, std::string_view reason);
  void Fail(int status, std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);
  RequestTimes TimesAt(TimePoint now) const;

  // relay_call_target_state.cc
  // Reads what an answer says about its target, apart from its load.
  void ReadTargetState(const traffic::Choice& choice,
                       const net::HttpResponseHead& head);
  // Reads the limit that the target declares for all callers from its answer.
  void UpdateDeclaredLimit(const traffic::Choice& choice,
                           const net::HttpResponseHead& head);
  // Reads the time for which the target wants no requests from this gateway.
  void UpdateRequestedPause(const traffic::Choice& choice,
                            const net::HttpResponseHead& head);
  // Reads whether the target is about to terminate.
  void UpdateLeaving(const traffic::Choice& choice,
                     const net::HttpResponseHead& head);

  // relay_call_leave.cc
  // What the quarantine holds against the request or one of its prompt parts.
  struct Held {
    quarantine::RequestFingerprint subject;
    quarantine::Judgement judgement;
  };
  // Waits until the quarantine lets the request run. Answers the caller and
  // returns false if it may not run.
  bool AwaitRunPermission();
  // The request and its prompt parts, if they are not free.
  std::vector<Held> FindHeld() const;
  // Requests permission for a single run from all that holds the request.
  bool TryTrials(const std::vector<Held>& held);
  // For the log.
  std::string Describe(const Held& held) const;
  void AnswerQuarantined(const Held& held);
  // Answers a request that got no permission for a run in time.
  void AnswerNotPermitted(const Held& held);
  void ReportTermination(const traffic::Choice& choice);
  void ReportCompletion();
  // Reports that the prompt parts don't terminate targets, as the present send
  // is answered. Has an effect once for each send.
  void ReportPartsAnswered();
  // Whether the target has been answering for so long that it would have
  // terminated if it were to.
  bool HasAnsweredForAWhile(TimePoint now) const;
  // Returns the permissions for the present run, if there are any.
  void EndTrials();

  // relay_call_streams.cc
  SendOutcome RelayStream(const traffic::Choice& choice,
                          net::HttpClientStream& stream);
  // Records how long the stream had no event, as a sign of the load.
  void RecordPause(Duration pause);
  // Writes events to the caller. Returns false if the caller has disconnected.
  bool RelayEvents(const net::HttpResponseHead& head,
                   const std::string& events);

  GatewayState& state_;
  net::HttpExchange& exchange_;
  TimePoint arrived_;
  TimePoint deadline_;
  RequestHead head_;
  // Keeps the matched route valid after a newer configuration is in force.
  std::shared_ptr<const traffic::RouteTable> routes_;
  traffic::RouteMatch match_;
  ServiceId service_;
  // Among the urgencies of the service; 0 is the most urgent.
  std::uint32_t urgency_rank_ = 0;
  // Identifies requests of equal content, independent of the request id.
  quarantine::RequestFingerprint fingerprint_;
  // Those of `head_.shared_parts`.
  std::vector<quarantine::RequestFingerprint> parts_;
  std::set<TargetId> tried_targets_;
  std::uint32_t sends_ = 0;
  bool may_have_run_ = false;
  bool caller_disconnected_ = false;
  // What the present run needed permission for, and the id under which it was
  // given.
  std::vector<quarantine::RequestFingerprint> permitted_;
  std::string trial_;
  // The target of the present send, and why that send was cancelled to try
  // another target, if it was.
  TargetId current_target_;
  std::optional<LeaveReason> leave_reason_;
  // A place that is taken at the target of the next send.
  std::optional<traffic::Choice> next_choice_;
  // Set if the present send was cancelled because its target is unresponsive.
  std::optional<LossReport> loss_;
  // The retry budget has already been charged for the next send.
  bool is_retry_charged_ = false;
  RequestTrace trace_;
  std::shared_ptr<net::Cancellation> cancellation_;
  net::HttpClientStream* open_stream_ = nullptr;
  // State of the present send. Its first event; unset if there was none.
  TimePoint sent_at_;
  std::optional<TimePoint> send_first_event_at_;
  bool has_target_terminated_ = false;
  bool are_parts_reported_ = false;
  // An error answer of a target, to be forwarded unchanged.
  std::optional<net::HttpResponse> failure_;
  // State of a streamed answer.
  traffic::EventSplitter splitter_;
  bool has_stream_started_ = false;
  TimePoint first_event_at_;
  TimePoint last_event_at_;
  Duration max_pause_{};
  // Description of each send for the log.
  std::string send_log_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_RELAY_CALL_H_
