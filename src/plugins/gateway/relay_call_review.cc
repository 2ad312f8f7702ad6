// The part of RelayCall that reviews the target of a send in progress.

#include <optional>

#include "libs/traffic/relay_rules.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

void RelayCall::ReviewTarget(TimePoint now) {
  if (HasAnsweredForAWhile(now)) {
    ReportPartsAnswered();
  }
  if (!caller_disconnected_ && !loss_.has_value()) {
    loss_ = FindLoss(now);
    if (loss_.has_value()) {
      CancelSend();
      return;
    }
  }
  const bool may_move_on =
      match_.route->may_repeat() && sends_ < match_.route->attempts;
  if (!may_move_on || caller_disconnected_ || leave_reason_.has_value()) {
    return;
  }
  if (IsTargetSilent(now)) {
    // The target may only be stalled. Before the first event there is nothing
    // to lose.
    if (!has_stream_started_ || ReserveNextTarget(now)) {
      LeaveTarget(LeaveReason::kSilent);
    }
    return;
  }
  if (state_.targets.ShouldMoveRequests(current_target_, tried_targets_, now) &&
      ReserveNextTarget(now)) {
    LeaveTarget(LeaveReason::kSlow);
  }
}

bool RelayCall::ReserveNextTarget(TimePoint now) {
  if (!state_.MayRetry(service_, now)) {
    return false;
  }
  next_choice_ = state_.targets.ChooseToMove(service_, tried_targets_, now);
  is_retry_charged_ = next_choice_.has_value() && MayRetry();
  return next_choice_.has_value();
}

void RelayCall::LeaveTarget(LeaveReason reason) {
  leave_reason_ = reason;
  CancelSend();
}

bool RelayCall::IsTargetSilent(TimePoint now) const {
  return state_.targets.IsSuspect(current_target_, now) ||
         IsConnectionSilent(now);
}

// The target may be healthy and only this connection dead: no more data arrives
// and neither end is notified. Callers give up after 2 s without an event;
// moving to another target before that saves the stream.
bool RelayCall::IsConnectionSilent(TimePoint now) const {
  constexpr Duration kMaxSilence = Milliseconds(1600);
  return has_stream_started_ && now - last_event_at_ > kMaxSilence &&
         state_.targets.HasProgressed(service_, last_event_at_, now);
}

std::optional<RelayCall::LossReport> RelayCall::FindLoss(TimePoint now) const {
  const TimePoint waits_since = has_stream_started_ ? last_event_at_ : arrived_;
  const bool is_reported = state_.targets.IsUnresponsive(current_target_);
  const bool is_unresponsive =
      is_reported || state_.prober.IsUnresponsive(current_target_, now);
  if (!traffic::IsTargetLost({now - waits_since, is_unresponsive})) {
    return std::nullopt;
  }
  return is_reported ? LossReport::kControlNodes : LossReport::kOwnProbes;
}

}  // namespace bilberryspool::gateway
