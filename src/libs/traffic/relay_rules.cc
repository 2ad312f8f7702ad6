#include "libs/traffic/relay_rules.h"

namespace bilberryspool::traffic {

namespace {

// With less time than this left no target can answer.
constexpr Duration kLeastTime = Milliseconds(10);

}  // namespace

RelayStep NextStep(const RelayState& state) {
  const bool surely_not_run = state.last == SendResult::kNotSent ||
                              state.last == SendResult::kNotExecuted;
  const bool has_time = state.time_left > kLeastTime;
  const bool is_repeatable = state.may_repeat || surely_not_run;
  if (is_repeatable && has_time && state.sends < state.allowed_sends) {
    return RelayStep::kSendAgain;
  }
  if (state.last == SendResult::kFailed) {
    return RelayStep::kPassFailureOn;
  }
  if (surely_not_run && (state.may_repeat || !state.may_have_run_before)) {
    return RelayStep::kRefuse;
  }
  if (!has_time) {
    return RelayStep::kFailInTime;
  }
  return RelayStep::kFail;
}

}  // namespace bilberryspool::traffic
