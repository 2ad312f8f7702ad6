#ifndef LIBS_TELEMETRY_COUNTER_H_
#define LIBS_TELEMETRY_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace bilberryspool::telemetry {

// Number of events since the start. Thread-safe; Add() is one atomic
// instruction.
class Counter {
 public:
  void Add(std::uint64_t count = 1) {
    value_.fetch_add(count, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_COUNTER_H_
