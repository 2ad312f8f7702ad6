#include "libs/net/fiber_signal.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "libs/net/steady_time.h"

namespace bilberryspool::net {

struct FiberSignal::Private {
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
};

FiberSignal::FiberSignal() : d_(std::make_unique<Private>()) {}
FiberSignal::~FiberSignal() = default;

void FiberSignal::NotifyAll() {
  d_->changed.notify_all();
}

void FiberSignal::Wait() {
  std::unique_lock<boost::fibers::mutex> lock(d_->mutex);
  d_->changed.wait(lock);
}

bool FiberSignal::WaitUntil(TimePoint deadline) {
  std::unique_lock<boost::fibers::mutex> lock(d_->mutex);
  return d_->changed.wait_until(lock, ToSteadyClock(deadline)) ==
         boost::fibers::cv_status::no_timeout;
}

}  // namespace bilberryspool::net
