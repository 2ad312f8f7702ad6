#include <doctest/doctest.h>

#include "libs/traffic/relay_rules.h"

namespace bilberryspool::traffic {
namespace {

constexpr Duration kTime = Seconds(1);

struct Row {
  const char* name;
  RelayState state;
  RelayStep expected;
};

// Guards against requests that take effect twice: a plant gets a stop command
// twice, or a caller whose request was reported as not run sends it again
// although it did run. This happens if a send with unknown outcome is repeated
// or reported as refused.
TEST_CASE("the next step follows from how a send ended") {
  const Row rows[] = {
      {"not sent, may not repeat",
       {false, SendResult::kNotSent, false, 1, 2, kTime},
       RelayStep::kRetry},
      {"not executed, may not repeat",
       {false, SendResult::kNotExecuted, false, 1, 2, kTime},
       RelayStep::kRetry},
      {"unknown, may not repeat",
       {false, SendResult::kUnknown, false, 1, 2, kTime},
       RelayStep::kFail},
      {"unknown, may repeat",
       {true, SendResult::kUnknown, false, 1, 2, kTime},
       RelayStep::kRetry},
      {"failed, may repeat",
       {true, SendResult::kFailed, false, 1, 2, kTime},
       RelayStep::kRetry},
      {"failed, may not repeat",
       {false, SendResult::kFailed, false, 1, 2, kTime},
       RelayStep::kForwardFailure},
      {"failed, sends used up",
       {true, SendResult::kFailed, false, 2, 2, kTime},
       RelayStep::kForwardFailure},
      {"not executed, sends used up",
       {false, SendResult::kNotExecuted, false, 2, 2, kTime},
       RelayStep::kRefuse},
      {"not executed after a send that may have run, may repeat",
       {true, SendResult::kNotExecuted, true, 2, 2, kTime},
       RelayStep::kRefuse},
      {"not executed after a send that may have run, may not repeat",
       {false, SendResult::kNotExecuted, true, 2, 2, kTime},
       RelayStep::kFail},
      {"unknown, sends used up",
       {true, SendResult::kUnknown, false, 2, 2, kTime},
       RelayStep::kFail},
      {"unknown, no time left",
       {true, SendResult::kUnknown, false, 1, 2, Duration(0)},
       RelayStep::kFailTimeout},
      {"not sent, no time left",
       {false, SendResult::kNotSent, false, 1, 2, Duration(0)},
       RelayStep::kRefuse},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(NextStep(row.state) == row.expected);
  }
}

// Guards against runs that continue at frozen VMs after their callers have
// disconnected.
TEST_CASE("a lost target is reported before the caller disconnects") {
  struct Row {
    const char* name;
    CallerWait wait;
    bool is_lost;
  };
  const Row rows[] = {
      {"an unresponsive target, just asked", {Milliseconds(600), true}, false},
      {"an unresponsive target, shortly before the caller disconnects",
       {Milliseconds(1701), true},
       true},
      {"a silent target that responds to others",
       {Milliseconds(1701), false},
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(IsTargetLost(row.wait) == row.is_lost);
  }
}

}  // namespace
}  // namespace bilberryspool::traffic
