// The life of one request on its entry, from routing to its final answer.
//
// It guards against a non-idempotent request that runs twice, an answer that
// belongs to another request or is doubled midway, a caller that never hears
// back, and a "not run" that is not true. The rules:
// - Events are matched by attempt id; late and foreign ones are dropped.
// - A non-idempotent request is claimed at a majority of its holders before
//   each attempt, for that attempt, with a token that is older than the claim;
//   so a request that slept since then finds its token refused.
// - Another target is tried only where the request is idempotent, or where it
//   is proven that the attempt before did not run and never will.
// - The final answer goes out as soon as it is known, exactly once, and says
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

// One send of a request, as the filters before have read it.
struct RequestSpec {
  RequestKey key;
  Fingerprint fingerprint;
  // Identifies this send among all of all entries; also without a claim.
  Claimant claimant;
  bool idempotent = true;
  // The caller vouches that it never sent this id before.
  bool first_send = false;
  TimePoint deadline;
  // It may have been sent before this entry stood still (StallDetector).
  bool may_predate_stall = false;
  // Who votes on a claim; only needed where it is not idempotent.
  std::vector<HolderSet> holders;
};

struct RequestMachineOptions {
  // Attempts of one request, the first included.
  std::size_t max_attempts = 3;
  // How long holders have to answer, and when those silent are asked again.
  Duration claim_timeout = Milliseconds(400);
  Duration claim_resend = Milliseconds(100);
  // How long a claim waits for a roster that this entry has not heard of yet.
  // Spreading one takes a second or two.
  Duration roster_wait = Seconds(3);
  // An attempt that shows no sign for this long has lost its link.
  Duration silence_timeout = Seconds(2);
  // Questions about an attempt: how many, and the time between them.
  std::size_t max_settle_queries = 4;
  Duration settle_interval = Milliseconds(300);
  // Two sends of one key that came at one moment may each hold a vote of the
  // other's, and each take the other's claim over at the same time, again and
  // again, until both give up and nobody is served. The one with the greater
  // claimant waits this much longer. Longer than a claim takes, 2 ways of 30 ms
  // at most between failure domains.
  Duration tie_break_delay = Milliseconds(150);
  // How often another send of the key is looked up.
  std::size_t max_lookups = 3;
  // How often a stream may be taken up again.
  std::size_t max_resumes = 4;
  // Hint where nothing better is known.
  Duration default_retry = Seconds(1);
  // Largest answer handed to the holders, in bytes.
  std::size_t max_kept_body_bytes = 1024;
};

class RequestMachine {
 public:
  RequestMachine(RequestMachineOptions options, RequestSpec spec);

  // The first event is RequestStarted.
  std::vector<RequestAction> Handle(const RequestEvent& event, TimePoint now);

  // When to send RequestTick; none once it is done.
  std::optional<TimePoint> next_deadline() const;

  bool done() const { return state_ == State::kDone; }
  // Events that came too late or spoke of another attempt.
  std::size_t dropped_events() const { return dropped_events_; }
  // Attempts sent so far.
  std::size_t attempts() const { return attempts_; }

 private:
  enum class State {
    kNew,
    kRouting,
    kClaiming,
    kAttempting,
    // Finding out what became of the own attempt.
    kSettling,
    // Finding out what became of another send's attempt.
    kLookingUp,
    // Nothing ran; making sure that nothing could run elsewhere meanwhile.
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
  void OnSettled(const SettleState& state, TimePoint now);
  void OnLookedUp(const SettleState& state, TimePoint now);
  void TakeOver();
  void OnSettleTimer(TimePoint now);
  void Resume(TimePoint now);

  void RecordAttemptLiveness(TimePoint now);
  void Relay(std::uint64_t offset, const std::string& data, TimePoint now);
  void RelayHeadOnce();
  void OnProvenNotRun(bool exclude_target, Duration retry_after, TimePoint now);
  void OnAttemptLost(FinalReason reason, TimePoint now);
  bool MayRetry() const;

  void Complete();
  void RepeatOutcome(const Outcome& outcome);
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

  // The attempt chosen or under way, or the one that is looked up.
  std::optional<AttemptRef> attempt_;
  bool can_continue_ = false;
  std::vector<TargetId> excluded_;
  std::size_t issued_attempt_ids_ = 0;
  std::size_t attempts_ = 0;
  // Attempts sent of which it is not proven that they did not run.
  std::size_t unproven_attempts_ = 0;
  bool claim_asked_ = false;
  bool claim_won_ = false;
  TimePoint claim_deadline_;
  // The claim can't be won before another roster is heard of.
  bool awaits_roster_ = false;
  // The other send that is looked up, and what follows from it.
  ClaimHeld other_claim_;
  std::size_t lookups_ = 0;
  std::optional<Takeover> takeover_;
  // What is said once the claim is closed.
  AnswerCaller pending_answer_;
  Duration no_target_retry_{};

  int status_ = 0;
  bool head_relayed_ = false;
  bool caller_disconnected_ = false;
  bool stalled_ = false;
  std::size_t settle_queries_ = 0;
  std::size_t resumes_ = 0;
  // The next timer of the present state.
  std::optional<TimePoint> timer_;
  std::size_t final_answers_ = 0;
  std::size_t dropped_events_ = 0;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_REQUEST_MACHINE_H_
