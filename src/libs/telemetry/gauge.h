#ifndef LIBS_TELEMETRY_GAUGE_H_
#define LIBS_TELEMETRY_GAUGE_H_

#include <atomic>

namespace bilberryspool::telemetry {

// A quantity that rises and falls. Thread-safe.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  void Add(double change) {
    value_.fetch_add(change, std::memory_order_relaxed);
  }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_ = 0;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_GAUGE_H_
