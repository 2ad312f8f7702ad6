// Gateways that send requests to targets which refuse them for a while and ask
// for pauses. The units that decide are the product's.

#ifndef TESTS_AUTO_TRAFFIC_PAUSE_WORLD_H_
#define TESTS_AUTO_TRAFFIC_PAUSE_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libs/base/random.h"
#include "libs/traffic/target_pool.h"

namespace bilberryspool::traffic {

struct PauseWorldOptions {
  std::size_t gateways = 7;
  std::size_t targets = 16;
  std::uint32_t slots = 12;
  double requests_per_s = 85.0;
  Duration run_time = Milliseconds(800);
  // From `refusing_from` on, the first `refusing` targets refuse everything for
  // `refusing_for`.
  std::size_t refusing = 5;
  Duration refusing_from = Seconds(3);
  Duration refusing_for = Seconds(8);
  // Each refusal names a pause between these.
  Duration min_pause = Seconds(3);
  Duration max_pause = Seconds(3);
  Duration length = Seconds(20);
  // How callers that are refused because all targets are paused are spread.
  Duration return_spread = kMaxReturnSpread;
};

struct PauseWorldResult {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  // Callers refused although a target that was not paused had free slots.
  std::uint64_t refused_while_free = 0;
  // Arrivals at a target between half a second after it had asked the gateway
  // for a pause and the end of that pause.
  std::uint64_t arrivals_in_pause = 0;
  // The most arrivals at one target within 200 ms.
  std::uint64_t most_in_200_ms = 0;
};

class PauseWorld {
 public:
  PauseWorld(PauseWorldOptions options, std::uint64_t seed);

  PauseWorldResult Run();

 private:
  struct Request {
    std::size_t gateway = 0;
    std::set<TargetId> tried;
    std::uint32_t sends = 0;
    bool has_returned = false;
  };
  struct Gateway {
    TargetPool pool;
    // End of the pause that each target has asked it for, as told by answers
    // that have arrived.
    std::map<TargetId, TimePoint> told_until;
    std::map<TargetId, TimePoint> refused_at;
  };
  struct Target {
    TargetId id;
    std::uint32_t running = 0;
    // When it last asked each gateway for a pause, and when that ends.
    std::map<std::size_t, std::pair<TimePoint, TimePoint>> asked;
    std::deque<TimePoint> arrivals;  // of the last 200 ms
  };

  void At(TimePoint when, std::function<void()> event);
  Duration Transit() {
    return random_.Between(Milliseconds(1), Milliseconds(4));
  }
  bool IsRefusing(std::size_t target) const;
  void Arrive();
  void Send(Request request);
  void Reach(const Request& request, const Choice& choice, std::size_t target);
  void Refuse(const Request& request, const Choice& choice, Target& target);
  // The caller is refused, and returns once.
  void End(const Request& request);
  bool IsAnyFree(const Request& request) const;

  PauseWorldOptions options_;
  Random random_;
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Gateway> gateways_;
  std::vector<Target> targets_;
  PauseWorldResult result_;
};

}  // namespace bilberryspool::traffic

#endif  // TESTS_AUTO_TRAFFIC_PAUSE_WORLD_H_
