#include "libs/quarantine/refusal.h"

#include <algorithm>

namespace bilberryspool::quarantine {

void Refusal::Start(TimePoint from) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(count_, kMaxDoublings);
  from_ = from;
  until_ =
      from + std::min(options_.first * (1U << doublings), options_.longest);
  is_reported_ = false;
  ++count_;
}

void Refusal::Extend(TimePoint until, bool has_started) {
  until_ = std::max(until_, until);
  if (has_started) {
    count_ = std::max(count_, 1U);
  }
}

void Refusal::Withdraw() {
  until_ = TimePoint{};
  count_ = 0;
}

void Refusal::Clear() {
  Withdraw();
  requester_.clear();
}

bool Refusal::TryTrial(const std::string& requester, TimePoint now) {
  const bool is_taken = !requester_.empty() && now < trial_until_;
  if (is_decided(now) || is_taken) {
    return false;
  }
  requester_ = requester;
  trial_until_ = now + options_.max_trial;
  if (count_ > 0) {
    Start(now);
  }
  return true;
}

void Refusal::EndTrial(const std::string& requester) {
  if (requester_ == requester) {
    requester_.clear();
  }
}

bool Refusal::TakeNews(TimePoint now) {
  if (is_reported_ || count_ == 0 || !is_in_force(now)) {
    return false;
  }
  is_reported_ = true;
  return true;
}

}  // namespace bilberryspool::quarantine
