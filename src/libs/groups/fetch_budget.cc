#include "libs/groups/fetch_budget.h"

#include <algorithm>

namespace bilberryspool::groups {

FetchBudget::FetchBudget(FetchBudgetOptions options, TimePoint now)
    : options_(options), refilled_(now) {}

bool FetchBudget::Take(double bytes, TimePoint now) {
  Refill(now);
  if (available_ < bytes) {
    return false;
  }
  available_ -= bytes;
  return true;
}

TimePoint FetchBudget::AvailableAt(double bytes, TimePoint now) const {
  const double lacking = std::max(0.0, bytes - available_);
  const double seconds = lacking / options_.bytes_per_second;
  const TimePoint when =
      refilled_ + Microseconds(static_cast<std::int64_t>(seconds * 1e6) + 1);
  return std::max(when, now);
}

void FetchBudget::Refill(TimePoint now) {
  if (now <= refilled_) {
    return;
  }
  const double gained = ToSeconds(now - refilled_) * options_.bytes_per_second;
  available_ = std::min(options_.burst_bytes, available_ + gained);
  refilled_ = now;
}

}  // namespace bilberryspool::groups
