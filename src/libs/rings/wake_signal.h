#ifndef LIBS_RINGS_WAKE_SIGNAL_H_
#define LIBS_RINGS_WAKE_SIGNAL_H_

#include <atomic>

namespace bilberryspool::rings {

// Wakes one waiting thread, which uses no CPU time while it waits. Several
// notifications between two waits count as one; a notification before a wait
// ends that wait at once, so none is lost.
class WakeSignal {
 public:
  // May be called from any thread. Everything written before is visible after
  // Wait().
  void Notify();
  // Blocks until Notify() has been called since the last Wait().
  void Wait();

 private:
  std::atomic<int> notified_ = 0;
};

}  // namespace bilberryspool::rings

#endif  // LIBS_RINGS_WAKE_SIGNAL_H_
