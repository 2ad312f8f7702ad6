// Time types for decisions.
//
// Code that decides never reads a clock but takes `now` as an argument. In the
// program `now` comes from libs/net/steady_time.h, in tests from the test
// itself.

#ifndef LIBS_BASE_TIME_H_
#define LIBS_BASE_TIME_H_

#include <chrono>

namespace bilberryspool {

using Duration = std::chrono::microseconds;

// Clock type of the monotonic time of one process. It has no now() on purpose.
// Time points of different processes must not be compared.
struct MonotonicTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTimeline, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name for it.
  static constexpr bool is_steady = true;
};

using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

constexpr Duration Microseconds(std::int64_t count) {
  return std::chrono::microseconds(count);
}

constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

constexpr Duration Seconds(std::int64_t count) {
  return std::chrono::seconds(count);
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the time point `elapsed` after the clock's epoch; for tests.
constexpr TimePoint TimeAt(Duration elapsed) {
  return TimePoint(elapsed);
}

}  // namespace bilberryspool

#endif  // LIBS_BASE_TIME_H_
