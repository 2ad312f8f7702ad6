#ifndef LIBS_NET_FIBER_SIGNAL_H_
#define LIBS_NET_FIBER_SIGNAL_H_

#include <memory>

#include "libs/base/time.h"

namespace bilberryspool::net {

// A condition that fibers of one loop wait for. Waiters must check their own
// predicate again after each wakeup.
class FiberSignal {
 public:
  FiberSignal();
  ~FiberSignal();
  FiberSignal(const FiberSignal&) = delete;
  FiberSignal& operator=(const FiberSignal&) = delete;

  void NotifyAll();
  void Wait();
  // Returns false if `deadline` passed first.
  bool WaitUntil(TimePoint deadline);

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_FIBER_SIGNAL_H_
