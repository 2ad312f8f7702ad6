// Bounded rings between two threads: one thread pushes items, the other pops
// them.
//
// With an unbounded queue a slow consumer would cause growing memory use and
// latency that stay unnoticed. A full ring rejects items instead: the producer
// learns this at once, keeps the item and decides what to do, and the rejection
// is counted.

#ifndef LIBS_RINGS_BOUNDED_RING_H_
#define LIBS_RINGS_BOUNDED_RING_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <thread>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace bilberryspool::rings {

// One producer thread calls TryPush(), one consumer thread calls PopAll();
// Close() and the counters may be used from any thread. `T` must be movable and
// default constructible.
template <typename T>
class BoundedRing {
 public:
  using WakeHook = std::function<void()>;

  // `wake` runs on the producer's thread after each accepted item.
  explicit BoundedRing(std::size_t capacity, WakeHook wake = {})
      : queue_(capacity), capacity_(capacity), wake_(std::move(wake)) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Returns false if the ring is full or closed; `item` is unchanged then.
  bool TryPush(T&& item) {
    in_push_.store(true);
    const bool is_accepted = !closed_.load() && PushSlot(item);
    in_push_.store(false);
    std::atomic<std::uint64_t>& counter = is_accepted ? pushed_ : refused_;
    counter.fetch_add(1, std::memory_order_relaxed);
    if (is_accepted && wake_) {
      wake_();
    }
    return is_accepted;
  }

  // Passes all available items to `consume(T&&)`, oldest first; returns their
  // number.
  template <typename Consume>
  std::size_t PopAll(Consume&& consume) {
    return queue_.consume_all(
        [&](Slot& slot) { consume(std::move(slot.value)); });
  }

  // Rejects all further items. Waits for a TryPush() in progress, so that a
  // PopAll() after Close() returns every accepted item. Without the wait, an
  // item accepted during the last PopAll() would be lost although TryPush()
  // returned true.
  void Close() {
    closed_.store(true);
#if !defined(BILBERRYSPOOL_MUTATION_RING_CLOSE_WITHOUT_WAIT)
    while (in_push_.load()) {
      std::this_thread::yield();
    }
#endif
  }

  std::size_t capacity() const {
    return capacity_;
  }
  // Number of items accepted and rejected since the start.
  std::uint64_t pushed() const {
    return pushed_.load(std::memory_order_relaxed);
  }
  std::uint64_t refused() const {
    return refused_.load(std::memory_order_relaxed);
  }

 private:
  // The queue of Boost 1.81 accepts items by copy only; copying a slot moves
  // its item, so that move-only items work too.
  struct Slot {
    Slot() = default;
    explicit Slot(T&& item) : value(std::move(item)) {}
    Slot(const Slot& other) : value(std::move(other.value)) {}
    Slot& operator=(const Slot&) = delete;

    mutable T value;
  };

  bool PushSlot(T& item) {
    Slot slot(std::move(item));
    if (queue_.push(slot)) {
      return true;
    }
    item = std::move(slot.value);
    return false;
  }

  boost::lockfree::spsc_queue<Slot> queue_;
  const std::size_t capacity_;
  const WakeHook wake_;
  std::atomic<bool> closed_ = false;
  std::atomic<bool> in_push_ = false;
  std::atomic<std::uint64_t> pushed_ = 0;
  std::atomic<std::uint64_t> refused_ = 0;
};

}  // namespace bilberryspool::rings

#endif  // LIBS_RINGS_BOUNDED_RING_H_
