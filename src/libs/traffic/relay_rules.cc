#include "libs/traffic/relay_rules.h"

namespace bilberryspool::traffic {

namespace {

// Minimum time left for another send; with less no target can respond in time.
constexpr Duration kMinSendTime = Milliseconds(10);

// Callers disconnect after two seconds without an event; the response has to
// reach them before.
constexpr Duration kMaxSilenceOfLostTarget = Milliseconds(1700);

}  // namespace

bool IsTargetLost(const CallerWait& wait) {
  return wait.is_target_unresponsive &&
         wait.silent_for > kMaxSilenceOfLostTarget;
}

RelayStep NextStep(const RelayState& state) {
  const bool is_definitely_not_run = state.last == SendResult::kNotSent ||
                                     state.last == SendResult::kNotExecuted;
  const bool has_time = state.time_left > kMinSendTime;
#if defined(BILBERRYSPOOL_MUTATION_RELAY_REPEATS_ALL)
  const bool is_repeatable = true;
#else
  const bool is_repeatable = state.may_repeat || is_definitely_not_run;
#endif
  if (is_repeatable && has_time && state.sends < state.allowed_sends) {
    return RelayStep::kRetry;
  }
  if (state.last == SendResult::kFailed) {
    return RelayStep::kForwardFailure;
  }
#if defined(BILBERRYSPOOL_MUTATION_RELAY_REFUSES_ALL)
  if (has_time) {
#else
  if (is_definitely_not_run &&
      (state.may_repeat || !state.may_have_run_before)) {
#endif
    return RelayStep::kRefuse;
  }
  if (!has_time) {
    return RelayStep::kFailTimeout;
  }
  return RelayStep::kFail;
}

}  // namespace bilberryspool::traffic
