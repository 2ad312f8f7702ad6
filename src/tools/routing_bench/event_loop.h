#ifndef TOOLS_ROUTING_BENCH_EVENT_LOOP_H_
#define TOOLS_ROUTING_BENCH_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::routing_bench {

// Runs callbacks in order of simulated time; callbacks of the same time run in
// the order in which they were added.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  TimePoint now() const { return now_; }

  void After(Duration delay, Callback callback) {
    events_.push(Event{now_ + delay, ++added_, std::move(callback)});
  }

  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.callback();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    Callback callback;

    bool operator<(const Event& other) const {
      return std::make_pair(at, order) > std::make_pair(other.at, other.order);
    }
  };

  TimePoint now_ = TimeAt(Seconds(1));
  std::uint64_t added_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_EVENT_LOOP_H_
