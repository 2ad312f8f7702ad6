#include "libs/groups/order_guard.h"

#include <algorithm>

namespace bilberryspool::groups {

OrderGuard::Step OrderGuard::Next(TimePoint now) {
  if (replied_poll_.has_value() &&
      now - *replied_poll_ <= options_.max_reply_age) {
    return Step::kSend;
  }
  if (!silent_since_.has_value()) {
    if (replies_ >= options_.max_replies) {
      return Step::kSend;
    }
    silent_since_ = now;
    return Poll(now);
  }
  if (now - wait_until() > options_.max_lateness &&
      restarts_ < options_.max_restarts) {
    ++restarts_;
    silent_since_ = now;
    return Poll(now);
  }
  if (now - *silent_since_ >= options_.silence_timeout) {
    return Step::kGiveUp;
  }
  if (now - *last_poll_ >= options_.poll_interval) {
    return Poll(now);
  }
  return Step::kWait;
}

OrderGuard::Step OrderGuard::Poll(TimePoint now) {
  last_poll_ = now;
  return Step::kPoll;
}

void OrderGuard::OnReply(TimePoint polled_at) {
  if (replied_poll_.has_value() && polled_at <= *replied_poll_) {
    return;
  }
  replied_poll_ = polled_at;
  ++replies_;
  if (silent_since_.has_value() && polled_at >= *silent_since_) {
    silent_since_.reset();
  }
}

TimePoint OrderGuard::wait_until() const {
  return std::min(*last_poll_ + options_.poll_interval,
                  *silent_since_ + options_.silence_timeout);
}

}  // namespace bilberryspool::groups
