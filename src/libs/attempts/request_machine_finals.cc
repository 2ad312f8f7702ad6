// The part of RequestMachine that completes a request.

#include <utility>

#include "libs/attempts/request_machine.h"
#include "libs/base/check.h"

namespace bilberryspool::attempts {

void RequestMachine::Complete() {
  if (!caller_disconnected_) {
    RelayHeadOnce();
  }
  if (!spec_.idempotent) {
    const FinishClaim finish = claim_.finish({status_, stream_.kept()});
    for (const NodeId& holder : claim_.Holders()) {
      Emit(SendFinish{holder, finish});
    }
  }
  AnswerFinally({FinalKind::kAnswered, FinalReason::kFinished, {}, {}});
}

void RequestMachine::RepeatOutcome(const Outcome& outcome) {
  // Votes granted to this send must not block the next one.
  Release(false);
  if (!outcome.body.has_value()) {
    AnswerFinally({FinalKind::kUnknown, FinalReason::kAnswerNotKept, {}, {}});
    return;
  }
  AnswerFinally(
      {FinalKind::kAnswered, FinalReason::kEarlierAnswer, {}, outcome});
}

void RequestMachine::GiveUp(FinalReason reason,
                            Duration retry_after,
                            TimePoint now) {
  const bool can_close_claim = !spec_.idempotent && claim_won_ &&
                               unproven_attempts_ == 0 && !stalled_ &&
                               !caller_disconnected_;
  if (can_close_claim) {
    CloseClaim(reason, retry_after, now);
    return;
  }
  GiveUpAtOnce(reason, retry_after);
}

void RequestMachine::GiveUpAtOnce(FinalReason reason, Duration retry_after) {
  const FinalKind kind = FinalKindOnGiveUp();
  if (unproven_attempts_ == 0) {
    Release(false);
  }
  const bool in_progress =
      state_ == State::kAttempting || state_ == State::kSettling;
  if (spec_.idempotent && in_progress && attempt_.has_value()) {
    Emit(CancelAttempt{*attempt_});
  }
  AnswerFinally({kind, reason, retry_after, {}});
}

FinalKind RequestMachine::FinalKindOnGiveUp() const {
  if (unproven_attempts_ > 0) {
    return FinalKind::kUnknown;
  }
  if (spec_.idempotent) {
    return FinalKind::kNotRun;
  }
  if (stalled_) {
    return FinalKind::kUnknown;
  }
  // Nothing of this send ran. Whether an earlier send did, only the holders
  // know, or a caller that asserts that there was none.
  const bool found_other_send = lookups_ > 0;
  return spec_.first_send && !found_other_send ? FinalKind::kNotRun
                                               : FinalKind::kUnknown;
}

void RequestMachine::AnswerFinally(AnswerCaller answer) {
  ++final_answers_;
  BILBERRYSPOOL_INVARIANT(final_answers_ == 1, "exactly one final answer");
  state_ = State::kDone;
  timer_.reset();
  if (!caller_disconnected_) {
    Emit(std::move(answer));
  }
}

}  // namespace bilberryspool::attempts
