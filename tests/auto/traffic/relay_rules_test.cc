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

// Symptom: a plant is told twice to stop, or a caller that was told "not run"
// sends an order that did run once more. Sequence: a send whose outcome is not
// known is repeated, or answered as refused. Cause: what may have run was
// taken for what surely did not.
TEST_CASE("what follows a send that was not served") {
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

// Guards against runs that go on at frozen VMs after their callers have left.
TEST_CASE("a caller is told of a lost target before he leaves") {
  struct Row {
    const char* name;
    CallerWait wait;
    bool is_lost;
  };
  const Row rows[] = {
      {"a missing target, just asked", {Milliseconds(600), true}, false},
      {"shortly before the caller leaves", {Milliseconds(1701), true}, true},
      {"a silent target that others hear", {Milliseconds(1701), false}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(IsTargetLost(row.wait) == row.is_lost);
  }
}

}  // namespace
}  // namespace bilberryspool::traffic
