// Estimates how many requests a lock-step group can run while its steps stay
// within the pauses that callers accept.
//
// Slots don't say that: with an uneven map or a slow rank, steps are too long
// for every caller before the slots are full. The estimate follows the measured
// time of passes: a fixed part, and a part that grows with the requests.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_GROUP_LOADS_ROOM_ESTIMATOR_H_
#define LIBS_GROUP_LOADS_ROOM_ESTIMATOR_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "libs/base/time.h"

namespace bilberryspool::group_loads {

struct RoomEstimatorOptions {
  std::uint32_t slots = 0;  // of all ranks together
  // A pass without requests, and what each request adds to it, as described by
  // the engine. The latter is used until passes were measured.
  Duration fixed{};
  Duration per_request{};
  // Part of the longest accepted pause that the mean pass may take, as single
  // passes vary.
  double usable_gap = 0.85;
  // Part of the slots that may be used: with all of them taken, the next
  // request waits for another one to end.
  double usable_slots = 0.85;
  // Passes are measured over this time.
  Duration window = Milliseconds(400);
  // The estimate is at least this part of the slots: a group without requests
  // shows nothing about its passes.
  double min_part = 0.1;
};

class RoomEstimator {
 public:
  explicit RoomEstimator(RoomEstimatorOptions options);

  // The group has begun pass number `pass` with `running` requests. Numbers
  // that go back start the measurement again.
  void OnPass(std::uint64_t pass, std::uint32_t running, TimePoint now);

  // Mean time of the latest passes; at least the time since the last pass began
  // if requests are running.
  std::optional<Duration> PassTime(TimePoint now) const;
  // Number of requests, at most the usable slots, with which the pauses between
  // events stay within `max_gap`; all usable slots if that is zero.
  std::uint32_t Room(Duration max_gap, TimePoint now) const;

 private:
  struct Reading {
    TimePoint at;
    std::uint64_t pass = 0;
    std::uint32_t running = 0;
  };

  double MeanRunning() const;

  RoomEstimatorOptions options_;
  std::deque<Reading> readings_;  // one for each pass seen
};

}  // namespace bilberryspool::group_loads

#endif  // LIBS_GROUP_LOADS_ROOM_ESTIMATOR_H_
