// The life of one caller's request: route, choose a target, send, and either
// pass the answer on or decide what follows.

#ifndef PLUGINS_GATEWAY_RELAY_CALL_H_
#define PLUGINS_GATEWAY_RELAY_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

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

  // Breaks the present send off where another target may be asked and the
  // present one has fallen silent, or is slow while another has room.
  void ReviewTarget(TimePoint now);

 private:
  // A target's whole answer that is passed on.
  struct Answered {};
  // The caller has left: nobody is there to answer.
  struct CallerDisconnected {};
  // The answer was begun and can't be finished.
  struct AnswerAborted {};
  // No success; the failure, if the target gave one, is kept in `failure_`.
  struct NotServed {
    traffic::SendResult result;
    std::string reason;
  };
  using SendOutcome =
      std::variant<Answered, CallerDisconnected, AnswerAborted, NotServed>;

  // relay_call.cc
  bool Admit();
  quarantine::RequestFingerprint Fingerprint() const;
  void Relay();
  bool AwaitGroup();
  traffic::RelayStep StepAfter(const NotServed& failed);
  SendOutcome SendTo(const traffic::Choice& choice);
  SendOutcome Send(const traffic::Choice& choice,
                   const net::Endpoint& endpoint,
                   const ForwardedHead& forwarded);
  SendOutcome EvaluateError(const traffic::Choice& choice,
                            const net::HttpError& error);
  // Whether the target has ended, whose connection broke.
  bool HasTerminated(const traffic::Choice& choice, net::HttpErrorKind kind);
  SendOutcome EvaluateHead(const traffic::Choice& choice,
                           const net::HttpResponseHead& head);
  SendOutcome RelayWholeAnswer(const traffic::Choice& choice,
                               net::HttpClientStream& stream);
  void AnswerNoTarget(traffic::NoChoice reason);
  void AnswerStep(traffic::RelayStep step, const std::string& reason);
  Duration RetryAfter();
  void Refuse(Duration retry_after, std::string_view reason);
  void Fail(int status, std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);
  bool MayRetry();
  Duration time_left() const;
  // How long the next sign of a target may take.
  Duration wait_timeout() const;
  void OnCallerDisconnected();
  void CancelSend();
  bool IsTargetSilent(TimePoint now) const;
  bool IsConnectionSilent(TimePoint now) const;
  // Whether the caller is about to leave a target that can't be told so.
  bool IsTargetLost(TimePoint now) const;
  void AbandonTarget();
  void FinishSend(const traffic::Choice& choice,
                  traffic::TargetOutcome outcome);
  RequestTimes TimesAt(TimePoint now) const;

  // relay_call_limits.cc
  // What the answer says of the target's limit for all callers.
  void UpdateDeclaredLimit(const traffic::Choice& choice,
                           const net::HttpResponseHead& head);
  void RefuseFull();

  // relay_call_leave.cc
  // Whether the request may be sent now; answers where it may not.
  bool AwaitRunPermission();
  void AnswerQuarantined(const quarantine::Judgement& judgement);
  void AnswerNotPermitted(const quarantine::Judgement& judgement);
  void ReportTermination(const traffic::Choice& choice);
  void ReportCompletion();
  void EndTrial();

  // relay_call_streams.cc
  SendOutcome RelayStream(const traffic::Choice& choice,
                          net::HttpClientStream& stream);
  bool RelayEvents(const net::HttpResponseHead& head,
                   const std::string& events);

  GatewayState& state_;
  net::HttpExchange& exchange_;
  TimePoint arrived_;
  TimePoint deadline_;
  RequestHead head_;
  // Keeps the route alive when a newer configuration comes.
  std::shared_ptr<const traffic::RouteTable> routes_;
  traffic::RouteMatch match_;
  ServiceId service_;
  // Which request it is, whatever its id.
  quarantine::RequestFingerprint fingerprint_;
  std::set<TargetId> tried_;
  std::uint32_t sends_ = 0;
  bool may_have_run_ = false;
  bool caller_disconnected_ = false;
  // The name of the present run where it needed leave; else empty.
  std::string trial_;
  // The target of the present send, and whether it was left for another.
  TargetId current_target_;
  bool has_abandoned_target_ = false;
  // The present send was given up since its target answers nobody.
  bool has_lost_target_ = false;
  // The retry budget has been asked already for the send that follows.
  bool is_retry_charged_ = false;
  RequestTrace trace_;
  std::shared_ptr<net::Cancellation> cancellation_;
  net::HttpClientStream* open_stream_ = nullptr;
  // A failure that a target answered, to be passed on as it is.
  std::optional<net::HttpResponse> failure_;
  // Streams.
  traffic::EventSplitter splitter_;
  bool has_stream_started_ = false;
  TimePoint first_event_at_;
  TimePoint last_event_at_;
  Duration max_pause_{};
  // What the log line tells of each send.
  std::string trail_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_RELAY_CALL_H_
