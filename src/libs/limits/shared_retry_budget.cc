#include "libs/limits/shared_retry_budget.h"

namespace bilberryspool::limits {

namespace {

constexpr Duration kSlice = Milliseconds(200);

}  // namespace

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions options,
                                     TimePoint started_at)
    : options_(options),
      started_at_(started_at),
      requests_(kSlice, options.window),
      retries_(kSlice, options.window + options.max_send_delay) {}

void SharedRetryBudget::OnRequest(TimePoint now) {
  requests_.Add(now);
}

bool SharedRetryBudget::MayRetry(double slack_share, TimePoint now) const {
  const auto requests =
      IsFirstWindow(now)
          ? 0.0
          : static_cast<double>(requests_.AtLeastSince(now - options_.window));
  const auto retries = static_cast<double>(
      retries_.AtMostSince(now - options_.window - options_.max_send_delay));
  return retries + 1.0 <=
         options_.ratio * requests + UsableSlack(slack_share, now);
}

bool SharedRetryBudget::TryRetry(double slack_share, TimePoint now) {
  const bool may_retry = MayRetry(slack_share, now);
  if (may_retry) {
    retries_.Add(now);
  }
  return may_retry;
}

double SharedRetryBudget::UsableSlack(double slack_share, TimePoint now) const {
  return IsFirstWindow(now) ? slack_share * options_.first_window_part
                            : slack_share;
}

bool SharedRetryBudget::IsFirstWindow(TimePoint now) const {
  return now - started_at_ < options_.window + options_.max_send_delay;
}

}  // namespace bilberryspool::limits
