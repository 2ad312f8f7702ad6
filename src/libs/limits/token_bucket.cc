#include "libs/limits/token_bucket.h"

#include <algorithm>

namespace bilberryspool::limits {
namespace {

constexpr Duration kMaxWait = Seconds(3600);
constexpr double kRounding = 1e-6;

}  // namespace

TokenBucket::TokenBucket(double rate, double burst)
    : rate_(rate), burst_(burst), level_(burst) {}

void TokenBucket::Configure(double rate, double burst, TimePoint now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  level_ = std::min(level_, burst_);
}

bool TokenBucket::TryTake(double cost, TimePoint now) {
  Refill(now);
  if (level_ + kRounding < Needed(cost)) {
    return false;
  }
  level_ -= cost;
  return true;
}

void TokenBucket::Charge(double cost, TimePoint now) {
  Refill(now);
  level_ = std::min(burst_, level_ - cost);
}

Duration TokenBucket::WaitFor(double cost, TimePoint now) const {
  const double missing = Needed(cost) - level(now);
  if (missing <= kRounding) {
    return Duration(0);
  }
  const double seconds = rate_ > 0.0 ? missing / rate_ : 1e9;
  if (seconds >= ToSeconds(kMaxWait)) {
    return kMaxWait;
  }
  return Duration(static_cast<Duration::rep>(seconds * 1e6) + 1);
}

double TokenBucket::level(TimePoint now) const {
  const Duration passed = std::max(Duration(0), now - last_);
  return std::min(burst_, level_ + rate_ * ToSeconds(passed));
}

void TokenBucket::Refill(TimePoint now) {
  level_ = level(now);
  last_ = std::max(last_, now);
}

double TokenBucket::Needed(double cost) const {
  return std::min(cost, burst_);
}

}  // namespace bilberryspool::limits
