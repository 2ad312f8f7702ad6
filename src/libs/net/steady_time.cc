#include "libs/net/steady_time.h"

#include <ctime>

namespace bilberryspool::net {

TimePoint SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(now.tv_nsec)));
}

std::chrono::steady_clock::time_point ToSteadyClock(TimePoint time) {
  return std::chrono::steady_clock::now() + (time - SteadyNow());
}

std::uint64_t WallNanoseconds() {
  const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count());
}

Incarnation WallIncarnation() {
  constexpr std::uint64_t kNanosecondsPerMillisecond = 1000000;
  return Incarnation(WallNanoseconds() / kNanosecondsPerMillisecond);
}

}  // namespace bilberryspool::net
