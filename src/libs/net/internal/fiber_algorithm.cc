#include "libs/net/internal/fiber_algorithm.h"

#include <boost/asio/post.hpp>

namespace bilberryspool::net::internal {

FiberAlgorithm::FiberAlgorithm(boost::asio::io_context& io)
    : io_(io), timer_(io) {}

void FiberAlgorithm::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(ready_);
}

boost::fibers::context* FiberAlgorithm::pick_next() noexcept {
  if (ready_.empty()) {
    return nullptr;
  }
  boost::fibers::context* next = &ready_.front();
  ready_.pop_front();
  return next;
}

bool FiberAlgorithm::has_ready_fibers() const noexcept {
  return !ready_.empty();
}

void FiberAlgorithm::suspend_until(
    std::chrono::steady_clock::time_point const& deadline) noexcept {
  Arm(deadline);
  io_.run_one();
  // Runs further ready handlers in the same turn to save wakeups.
  constexpr int kHandlersPerTurn = 64;
  for (int i = 0; i < kHandlersPerTurn; ++i) {
    if (io_.poll_one() == 0) {
      break;
    }
  }
}

// Setting the expiry of a timer completes its pending wait at once, which ends
// run_one(): doing so on each turn would be a busy loop. So the timer is set
// only if the deadline changed.
void FiberAlgorithm::Arm(std::chrono::steady_clock::time_point deadline) {
  if (deadline == std::chrono::steady_clock::time_point::max() ||
      deadline == armed_for_) {
    return;
  }
  armed_for_ = deadline;
  timer_.expires_at(deadline);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      armed_for_ = std::chrono::steady_clock::time_point::max();
    }
  });
}

void FiberAlgorithm::notify() noexcept {
  boost::asio::post(io_, [] {});
}

}  // namespace bilberryspool::net::internal
