#include <doctest/doctest.h>

#include <string>

#include "libs/group_loads/room_estimator.h"

namespace bilberryspool::group_loads {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(50));
constexpr Duration kMaxGap = Milliseconds(120);

// 24 ranks of 10 slots, passes of 35 ms and more.
RoomEstimator MakeEstimator() {
  RoomEstimatorOptions options;
  options.slots = 240;
  options.fixed = Milliseconds(35);
  options.per_request = Microseconds(106);
  return RoomEstimator(options);
}

TimePoint Play(RoomEstimator& estimator,
               Duration pass_time,
               std::uint32_t running,
               TimePoint now,
               std::uint64_t first = 1) {
  for (std::uint64_t pass = first; pass < first + 20; ++pass) {
    now += pass_time;
    estimator.OnPass(pass, running, now);
  }
  return now;
}

TEST_CASE("the room follows the measured passes") {
  struct Row {
    std::string name;
    Duration pass_time;
    std::uint32_t running;
    std::uint32_t at_least;
    std::uint32_t at_most;
  };
  for (const Row& row : {
           Row{"an even map", Milliseconds(60), 100, 204, 204},
           Row{"passes as long as callers accept", Milliseconds(102), 200, 195,
               205},
           Row{"an uneven map", Milliseconds(110), 120, 100, 115},
           Row{"a slow rank", Milliseconds(400), 200, 24, 40},
           Row{"hardly any requests", Milliseconds(60), 10, 204, 204},
       }) {
    CAPTURE(row.name);
    RoomEstimator estimator = MakeEstimator();
    const TimePoint now = Play(estimator, row.pass_time, row.running, kStart);
    CHECK(estimator.Room(kMaxGap, now) >= row.at_least);
    CHECK(estimator.Room(kMaxGap, now) <= row.at_most);
  }
}

// Guards against requests to a group that stalls because a rank is missing.
TEST_CASE("a group that stalls has the least room") {
  RoomEstimator estimator = MakeEstimator();
  const TimePoint now = Play(estimator, Milliseconds(60), 150, kStart);
  CHECK(estimator.Room(kMaxGap, now + Milliseconds(1000)) == 24);
}

TEST_CASE("an idle group, and one whose passes count anew, keep their room") {
  RoomEstimator estimator = MakeEstimator();
  CHECK(estimator.Room(kMaxGap, kStart) == 204);
  TimePoint now = Play(estimator, Milliseconds(60), 150, kStart, 500);
  estimator.OnPass(520, 0, now + Milliseconds(60));
  CHECK(estimator.Room(kMaxGap, now + Seconds(5)) > 200);
  now = Play(estimator, Milliseconds(60), 150, now + Seconds(9), 1);
  CHECK(estimator.Room(kMaxGap, now) > 200);
}

TEST_CASE("without a longest pause all usable slots are room") {
  RoomEstimator estimator = MakeEstimator();
  const TimePoint now = Play(estimator, Milliseconds(300), 200, kStart);
  CHECK(estimator.Room(Duration::zero(), now) == 204);
}

}  // namespace
}  // namespace bilberryspool::group_loads
