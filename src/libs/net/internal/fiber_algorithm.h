#ifndef LIBS_NET_INTERNAL_FIBER_ALGORITHM_H_
#define LIBS_NET_INTERNAL_FIBER_ALGORITHM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace bilberryspool::net::internal {

// Schedules fibers in FIFO order, and runs the io_context's handlers while no
// fiber is ready.
//
// Handlers run only in suspend_until(): pick_next() is called while the
// suspending fiber still holds the spinlock of its wait queue, and a handler
// that notifies this queue would spin forever. suspend_until() blocks in the
// io_context, so an idle thread uses no CPU time.
class FiberAlgorithm : public boost::fibers::algo::algorithm {
 public:
  explicit FiberAlgorithm(boost::asio::io_context& io);

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      std::chrono::steady_clock::time_point const& deadline) noexcept override;
  void notify() noexcept override;

 private:
  void Arm(std::chrono::steady_clock::time_point deadline);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point armed_for_ =
      std::chrono::steady_clock::time_point::max();
  boost::fibers::scheduler::ready_queue_type ready_;
};

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_FIBER_ALGORITHM_H_
