// A worker thread that is fed by bounded rings.

#ifndef LIBS_RINGS_WORKER_H_
#define LIBS_RINGS_WORKER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "libs/rings/bounded_ring.h"
#include "libs/rings/thread_name.h"
#include "libs/rings/wake_signal.h"

namespace bilberryspool::rings {

struct WorkerOptions {
  std::string name;                  // of the thread; truncated to 15 bytes
  std::size_t ring_capacity = 1024;  // items per producer
  std::size_t producers = 1;         // pushing threads, each with its own ring
};

// Passes the items of its rings to one function on its own thread, and blocks
// while there are none. Items of one producer keep their order.
template <typename T>
class Worker {
 public:
  using Handler = std::function<void(T&&)>;
  using Hook = std::function<void()>;

  // `handle` runs on the worker's thread for each item, `after_batch` after
  // each batch of items (for example to flush a file once). Neither may throw.
  Worker(const WorkerOptions& options, Handler handle, Hook after_batch = {})
      : handle_(std::move(handle)), after_batch_(std::move(after_batch)) {
    for (std::size_t i = 0; i < options.producers; ++i) {
      rings_.push_back(std::make_unique<BoundedRing<T>>(
          options.ring_capacity, [this] { signal_.Notify(); }));
    }
    thread_ = std::thread([this, name = options.name] { Run(name); });
  }

  ~Worker() { Stop(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // The ring of one producer thread.
  BoundedRing<T>& ring(std::size_t producer = 0) { return *rings_[producer]; }

  // Rejects new items, handles the accepted ones and joins the thread. Must be
  // called by one thread only, never by the worker's own.
  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    for (const auto& ring : rings_) {
      ring->Close();
    }
    stopping_.store(true, std::memory_order_release);
    signal_.Notify();
    thread_.join();
  }

 private:
  void Run(const std::string& name) {
    NameThisThread(name);
    bool is_last = false;
    while (!is_last) {
      signal_.Wait();
      // Read before Drain(), so that all items accepted before Stop() are still
      // handled.
      is_last = stopping_.load(std::memory_order_acquire);
      Drain();
    }
  }

  void Drain() {
    std::size_t handled = 0;
    for (const auto& ring : rings_) {
      handled += ring->PopAll([this](T&& item) { handle_(std::move(item)); });
    }
    if (handled > 0 && after_batch_) {
      after_batch_();
    }
  }

  const Handler handle_;
  const Hook after_batch_;
  WakeSignal signal_;
  std::vector<std::unique_ptr<BoundedRing<T>>> rings_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace bilberryspool::rings

#endif  // LIBS_RINGS_WORKER_H_
