// State machine of one request on its entry, from routing to the final answer.
//
// It prevents a non-idempotent request from running twice, an answer that
// belongs to another request or that repeats a part, a caller that never gets
// an answer, and a wrong "not run". The rules:
// - Events are matched by attempt id; late ones and those of other attempts are
//   dropped.
// - A non-idempotent request is claimed at a majority of its holders before
//   each attempt and for that attempt, with a token that is older than the
//   claim. If the entry is frozen between claim and attempt, the token expires
//   and the agent refuses the attempt.
// - Another target is tried only if the request is idempotent, or if it is
//   proven that the previous attempt did not run and never will.
// - The final answer is sent as soon as it is known, exactly once, and says
//   "not run" only on proof.

#ifndef LIBS_ATTEMPTS_REQUEST_MACHINE_H_
#define LIBS_ATTEMPTS_REQUEST_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/attempts/claim_coordinator.h"
#include "libs/attempts/request_action.h"
#include "libs/attempts/request_event.h"
#include "libs/attempts/request_stream.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

// One send of a request, as parsed by the request filters.
struct RequestSpec {
  RequestKey key;
  Fingerprint fingerprint;
  // Identifies this send among all sends of all entries; also used without a
  // claim.
  Claimant claimant;
  bool idempotent = true;
  // The caller asserts that it never sent this id before.
  bool first_send = false;
  TimePoint deadline;
  // It may have been sent before this entry was stalled (StallDetector).
  bool may_predate_stall = false;
  // The holders that vote on a claim; only needed if it is not idempotent.
  std::vector<HolderSet> holders;
};

struct RequestMachineOptions {
  // Maximum number of attempts of one request, including the first.
  std::size_t max_attempts = 3;
  // Time in which holders must answer, and interval at which those that have
  // not answered are asked again.
  Duration claim_timeout = Milliseconds(400);
  Duration claim_resend = Milliseconds(100);
  // How long a claim waits for a roster that this entry has not received yet.
  // Distributing one takes one to two seconds.
  Duration roster_wait = Seconds(3);
  // An attempt from which nothing is received for this time counts as having
  // lost its link.
  Duration silence_timeout = Seconds(2);
  // Maximum number of settle requests about an attempt, and the interval
  // between them.
  std::size_t max_settle_queries = 4;
  Duration settle_interval = Milliseconds(300);
  // Additional wait of the send with the greater claimant before it asks again
  // about another send's attempt. Without it, two simultaneous sends of one key
  // may each hold a vote that the other needs and repeatedly take over each
  // other's claim at the same time, until both give up and neither is served.
  // It must exceed the time to make a claim, which takes two network trips of
  // at most 30 ms each between failure domains.
  Duration tie_break_delay = Milliseconds(150);
  // Maximum number of lookups of another send of the key.
  std::size_t max_lookups = 3;
  // Maximum number of times that a stream may be resumed.
  std::size_t max_resumes = 4;
  // Retry hint if no better one is known.
  Duration default_retry = Seconds(1);
  // Maximum size of an answer reported to the holders, in bytes.
  std::size_t max_kept_body_bytes = 1024;
};

class RequestMachine {
 public:
  RequestMachine(RequestMachineOptions options, RequestSpec spec);

  // Handles an event and returns the resulting actions. The first event must be
  // RequestStarted.
  std::vector<RequestAction> Handle(const RequestEvent& event, TimePoint now);

  // Time of the next RequestTick; none once the request is done.
  std::optional<TimePoint> next_deadline() const;

  bool done() const { return state_ == State::kDone; }
  // Number of events that arrived too late or belonged to another attempt.
  std::size_t dropped_events() const { return dropped_events_; }
  // Number of attempts sent so far.
  std::size_t attempts() const { return attempts_; }

 private:
  enum class State {
    kNew,
    kRouting,
    kClaiming,
    kAttempting,
    // Asking the agent for the state of this send's own attempt.
    kSettling,
    // Asking the agent for the state of another send's attempt.
    kLookingUp,
    // Nothing ran here; confirming that nothing could run elsewhere meanwhile.
    kClosing,
    kDone,
  };

  bool Expects(const RequestEvent& event) const;

  void On(const RequestStarted& event, TimePoint now);
  void On(const TargetChosen& event, TimePoint now);
  void On(const NoTarget& event, TimePoint now);
  void On(const ClaimAnswered& event, TimePoint now);
  void On(const HolderUnreachable& event, TimePoint now);
  void On(const HoldersChanged& event, TimePoint now);
  void On(const ReleaseAnswered& event, TimePoint now);
  void On(const AttemptAlive& event, TimePoint now);
  void On(const AttemptRefused& event, TimePoint now);
  void On(const AttemptHead& event, TimePoint now);
  void On(const AttemptChunk& event, TimePoint now);
  void On(const AttemptFinished& event, TimePoint now);
  void On(const AttemptFailed& event, TimePoint now);
  void On(const LinkLost& event, TimePoint now);
  void On(const SettleAnswered& event, TimePoint now);
  void On(const SettleUnreachable& event, TimePoint now);
  void On(const CallerDisconnected& event, TimePoint now);
  void On(const EntryStalled& event, TimePoint now);
  void On(const StopDeadlineReached& event, TimePoint now);
  void On(const RequestTick& event, TimePoint now);

  void StartRouting();
  void StartClaim(TimePoint now);
  void RequestMissingVotes(TimePoint now);
  void EvaluateClaim(bool timed_out, TimePoint now);
  void OnClaimUnavailable(const ClaimUnavailable& unavailable,
                          bool timed_out,
                          TimePoint now);
  void LookUpOtherSend(const ClaimHeld& held, TimePoint now);
  void SendOwnAttempt(TimePoint now);
  void StartSettling(TimePoint now);
  void SendSettleQuery(bool forbid, TimePoint now);
  // Handle the agent's answer about this send's own attempt, or about the
  // attempt of the other send that is looked up.
  void OnSettled(const SettleState& state, TimePoint now);
  void OnLookedUp(const SettleState& state, TimePoint now);
  void TakeOver();
  void OnSettleTimer(TimePoint now);
  void Resume(TimePoint now);

  void RecordAttemptLiveness(TimePoint now);
  void Relay(std::uint64_t offset, const std::string& data, TimePoint now);
  void RelayHeadOnce();
  // The current attempt provably did not run: tries another target, or gives up
  // if no attempt is left.
  void OnProvenNotRun(bool exclude_target, Duration retry_after, TimePoint now);
  void OnAttemptLost(FinalReason reason, TimePoint now);
  bool MayRetry() const;

  void Complete();
  void RepeatOutcome(const Outcome& outcome);
  // Ends the request without an answer from a target. GiveUp first closes a
  // claim that this send has won, so that "not run" is proven; GiveUpAtOnce
  // answers immediately.
  void GiveUp(FinalReason reason, Duration retry_after, TimePoint now);
  void GiveUpAtOnce(FinalReason reason, Duration retry_after);
  FinalKind FinalKindOnGiveUp() const;
  void CloseClaim(FinalReason reason, Duration retry_after, TimePoint now);
  void EvaluateClosing(bool timed_out);
  void AnswerFinally(AnswerCaller answer);
  void Release(bool closing);

  void Emit(RequestAction action) { actions_.push_back(std::move(action)); }

  RequestMachineOptions options_;
  RequestSpec spec_;
  ClaimCoordinator claim_;
  RequestStream stream_;
  State state_ = State::kNew;
  std::vector<RequestAction> actions_;

  // The attempt chosen or in progress, or the one that is looked up.
  std::optional<AttemptRef> attempt_;
  bool can_continue_ = false;
  std::vector<TargetId> excluded_;
  std::size_t issued_attempt_ids_ = 0;
  std::size_t attempts_ = 0;
  // Number of attempts sent that are not proven not to have run.
  std::size_t unproven_attempts_ = 0;
  bool claim_asked_ = false;
  bool claim_won_ = false;
  TimePoint claim_deadline_;
  // The claim can't be won before another roster is received.
  bool awaits_roster_ = false;
  // The claim of the other send that is looked up, the number of lookups, and
  // the takeover that results.
  ClaimHeld other_claim_;
  std::size_t lookups_ = 0;
  std::optional<Takeover> takeover_;
  // The answer to send once the claim is closed.
  AnswerCaller pending_answer_;
  Duration no_target_retry_{};

  int status_ = 0;
  bool head_relayed_ = false;
  bool caller_disconnected_ = false;
  bool stalled_ = false;
  std::size_t settle_queries_ = 0;
  std::size_t resumes_ = 0;
  // The next timer of the current state.
  std::optional<TimePoint> timer_;
  std::size_t final_answers_ = 0;
  std::size_t dropped_events_ = 0;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_REQUEST_MACHINE_H_
