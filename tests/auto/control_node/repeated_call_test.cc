// Guards against a whole group pausing until the timeout of a control node that
// lost power with the order to release a step.

#include "plugins/control_node/repeated_call.h"

#include <doctest/doctest.h>

#include <vector>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control_node {
namespace {

// Long enough for a machine that is busy with other tests.
constexpr Duration kRepeatAfterInTest = Milliseconds(150);

struct Call {
  Duration takes;
  int status;
};

struct Row {
  const char* name;
  std::vector<Call> calls;
  int status;
  Duration max_time;
  std::size_t sent;
};

TEST_CASE("a call that is not answered soon is repeated on another path") {
  const Row rows[] = {
      {"answered at once",
       {{Milliseconds(1), 200}},
       200,
       Milliseconds(1000),
       1},
      {"the first node is dead",
       {{Milliseconds(1500), 0}, {Milliseconds(1), 200}},
       200,
       Milliseconds(1000),
       2},
      {"the first node refuses the connection",
       {{Milliseconds(1), 0}, {Milliseconds(1), 200}},
       200,
       Milliseconds(1000),
       2},
      {"both are dead",
       {{Milliseconds(300), 0}, {Milliseconds(30), 0}},
       0,
       Seconds(5),
       2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    net::NetworkLoop loop;
    loop.Run([&] {
      std::size_t sent = 0;
      const TimePoint begun = net::SteadyNow();
      const int status = CallRepeated(
          [&](std::function<void()> body) { loop.Spawn(std::move(body)); },
          [&] {
            const Call& call = row.calls.at(sent++);
            loop.SleepFor(call.takes);
            return call.status;
          },
          kRepeatAfterInTest);
      CHECK(status == row.status);
      CHECK(net::SteadyNow() - begun < row.max_time);
      CHECK(sent == row.sent);
      loop.SleepFor(Milliseconds(1600));
    });
  }
}

}  // namespace
}  // namespace bilberryspool::control_node
