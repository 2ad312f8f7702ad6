#ifndef LIBS_TELEMETRY_LINE_BUDGET_H_
#define LIBS_TELEMETRY_LINE_BUDGET_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::telemetry {

// Bounds how many log lines of one kind are written in a second.
class LineBudget {
 public:
  explicit LineBudget(std::uint32_t most_a_second) : most_(most_a_second) {}

  // Whether one more may be written; counts it.
  bool Take(TimePoint now) {
    if (now - since_ > Seconds(1)) {
      since_ = now;
      taken_ = 0;
    }
    return ++taken_ <= most_;
  }

 private:
  std::uint32_t most_;
  std::uint32_t taken_ = 0;
  TimePoint since_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_LINE_BUDGET_H_
