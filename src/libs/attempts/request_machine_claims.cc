// The part of RequestMachine that handles claims and other sends of the key.

#include <algorithm>
#include <utility>

#include "libs/attempts/request_machine.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::attempts {

void RequestMachine::StartClaim(TimePoint now) {
  state_ = State::kClaiming;
  claim_won_ = false;
  claim_asked_ = true;
  awaits_roster_ = false;
  claim_.StartRound(attempt_, takeover_);
  claim_deadline_ = now + options_.claim_timeout;
  RequestMissingVotes(now);
  EvaluateClaim(false, now);
}

void RequestMachine::RequestMissingVotes(TimePoint now) {
  if (awaits_roster_) {
    return;
  }
  for (const NodeId& holder : claim_.UnansweredHolders()) {
    Emit(SendClaim{holder, claim_.request()});
  }
  timer_ = std::min(now + options_.claim_resend, claim_deadline_);
}

void RequestMachine::EvaluateClaim(bool timed_out, TimePoint now) {
  std::visit(
      Overloaded{
          [](const ClaimPending&) {},
          [&](const ClaimWon&) {
            claim_won_ = true;
            if (attempt_.has_value()) {
              SendOwnAttempt(now);
              return;
            }
            GiveUp(FinalReason::kNoTarget, no_target_retry_, now);
          },
          [&](const ClaimLost& lost) { LookUpOtherSend(lost.held, now); },
          [&](const ClaimFinished& finished) {
            RepeatOutcome(finished.outcome);
          },
          [&](const ClaimMismatch&) {
            GiveUp(FinalReason::kBodyMismatch, Duration{}, now);
          },
          [&](const ClaimUnavailable& unavailable) {
            OnClaimUnavailable(unavailable, timed_out, now);
          },
      },
      claim_.State(timed_out));
}

// After the start of an entry, or a change of the control members, the entry
// may briefly know fewer rosters than the holders: the claim can be won as soon
// as it receives the missing one.
void RequestMachine::OnClaimUnavailable(const ClaimUnavailable& unavailable,
                                        bool timed_out,
                                        TimePoint now) {
  if (timed_out || !claim_.NeedsNewerRoster()) {
    GiveUp(FinalReason::kClaimUnavailable, unavailable.retry_after, now);
    return;
  }
  if (!awaits_roster_) {
    awaits_roster_ = true;
    claim_deadline_ = now + options_.roster_wait;
    timer_ = claim_deadline_;
  }
}

// Another send has the claim. Its entry may be dead, but the agent of its
// target can report the state of its attempt.
void RequestMachine::LookUpOtherSend(const ClaimHeld& held, TimePoint now) {
  attempt_ = held.attempt;
  other_claim_ = held;
  ++lookups_;
  if (lookups_ > options_.max_lookups) {
    GiveUp(FinalReason::kInProgress, options_.default_retry, now);
    return;
  }
  if (!attempt_.has_value()) {
    TakeOver();
    return;
  }
  state_ = State::kLookingUp;
  settle_queries_ = 0;
  SendSettleQuery(false, now);
  if (spec_.claimant > held.claimant) {
    timer_ = *timer_ + options_.tie_break_delay;
  }
}

void RequestMachine::OnLookedUp(const SettleState& state, TimePoint now) {
  std::visit(Overloaded{
                 [&](const SettledFinished& finished) {
                   RepeatOutcome(finished.outcome);
                 },
                 [&](const SettledUnknown&) {
                   GiveUp(FinalReason::kTargetLost, Duration{}, now);
                 },
                 [&](const SettledRunning&) {
                   GiveUp(FinalReason::kInProgress, options_.default_retry,
                          now);
                 },
                 // It may be in transit: the timer asks again, then with
                 // `forbid`.
                 [](const SettledNotSeen&) {},
                 [&](const SettledNotRun&) { TakeOver(); },
             },
             state);
}

// Takes over the claim of the other send, which did not run and never will
// under that claim: its entry is dead, or will learn of it when its attempt is
// refused.
void RequestMachine::TakeOver() {
  takeover_ = Takeover{other_claim_.claimant, other_claim_.round};
  attempt_.reset();
  StartRouting();
}

// Closes the claim before "not run" is reported. Another send may have taken
// the claim over, or the holders may have dropped it, and the request may have
// run there; its caller would then be told "not run" about work that ran. The
// holders' answers rule this out, and they keep other sends from running it
// while the caller is answered.
void RequestMachine::CloseClaim(FinalReason reason,
                                Duration retry_after,
                                TimePoint now) {
  state_ = State::kClosing;
  pending_answer_ = {FinalKind::kNotRun, reason, retry_after, {}};
  Release(true);
  claim_deadline_ = now + options_.claim_timeout;
  timer_ = now + options_.claim_resend;
}

void RequestMachine::EvaluateClosing(bool timed_out) {
  const std::optional<bool> closed = claim_.IsClosed();
  if (!closed.has_value() && !timed_out) {
    return;
  }
  // A confirmation that arrives too late proves nothing, as holders keep the
  // claim closed for a short time only.
  if (timed_out || stalled_ || !closed.value_or(false)) {
    pending_answer_.kind = FinalKind::kUnknown;
  }
  AnswerFinally(pending_answer_);
  Release(false);
}

void RequestMachine::Release(bool closing) {
  if (!claim_asked_) {
    return;
  }
  for (const NodeId& holder : claim_.Holders()) {
    Emit(SendRelease{holder, claim_.release(closing)});
  }
}

}  // namespace bilberryspool::attempts
