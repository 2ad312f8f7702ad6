// A target that exits closes its connections before its port, so it may still
// listen when the first probe arrives.

#include "plugins/gateway/termination_detector.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>

#include "libs/net/network_loop.h"

namespace bilberryspool::gateway {
namespace {

using boost::asio::ip::tcp;

struct Row {
  const char* name;
  // When the port of the target closes after its connections.
  Duration closes_after;
  Duration max_wait;
  bool has_terminated;
};

TEST_CASE("a target that closes its port late has terminated") {
  const Row rows[] = {
      {"closed at once, nobody waits", Milliseconds(0), Milliseconds(0), true},
      {"closed later, nobody waits", Milliseconds(60), Milliseconds(0), false},
      {"closed later, a suspect request", Milliseconds(60), Milliseconds(200),
       true},
      {"a target that goes on", Seconds(5), Milliseconds(200), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    net::NetworkLoop loop;
    loop.Run([&] {
      tcp::acceptor port(loop.io(),
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
      const net::Endpoint endpoint{"127.0.0.1", port.local_endpoint().port()};
      bool is_over = false;
      loop.Spawn([&] {
        loop.SleepFor(std::min(row.closes_after, Milliseconds(400)));
        if (!is_over) {
          port.close();
        }
      });
      if (row.closes_after == Duration::zero()) {
        port.close();
      }
      TerminationDetector detector(loop);
      CHECK(detector.HasTerminated(TargetId("t"), endpoint, row.max_wait) ==
            row.has_terminated);
      is_over = true;
      loop.SleepFor(Milliseconds(450));
    });
  }
}

}  // namespace
}  // namespace bilberryspool::gateway
