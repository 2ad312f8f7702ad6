// Only these functions of the program read clocks.

#ifndef LIBS_NET_STEADY_TIME_H_
#define LIBS_NET_STEADY_TIME_H_

#include <chrono>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::net {

// Current time on this process's monotonic clock, which keeps running while the
// VM is suspended: a leader that resumes must see that its lease has expired.
TimePoint SteadyNow();

// The same instant on the clock that Asio and Boost.Fiber use for waiting.
std::chrono::steady_clock::time_point ToSteadyClock(TimePoint time);

// Wall time in nanoseconds since 1970, for traces and logs only, as it may
// jump.
std::uint64_t WallNanoseconds();

// Returns an incarnation number for this start of the process: wall time in
// milliseconds. It increases from start to start unless the clock was set back
// in between; code that compares incarnations must tolerate that.
Incarnation WallIncarnation();

}  // namespace bilberryspool::net

#endif  // LIBS_NET_STEADY_TIME_H_
