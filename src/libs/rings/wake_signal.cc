#include "libs/rings/wake_signal.h"

namespace bilberryspool::rings {

void WakeSignal::Notify() {
  if (notified_.exchange(1, std::memory_order_acq_rel) == 0) {
    notified_.notify_one();
  }
}

void WakeSignal::Wait() {
  while (notified_.exchange(0, std::memory_order_acq_rel) == 0) {
    notified_.wait(0, std::memory_order_acquire);
  }
}

}  // namespace bilberryspool::rings
