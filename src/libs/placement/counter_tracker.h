// Computes the increase of an engine's counters between two readings.
//
// Counters are cumulative and a full reading is large, while most of it equals
// the previous one, so only the increase is returned. Each reading has a mark,
// and the requester names the mark of the last reading that it received. If a
// response was lost, duplicated or late, that mark is not the latest one and
// the increase is dropped, so nothing is counted twice.
//
// Performs no I/O; depends only on its inputs.

#ifndef LIBS_PLACEMENT_COUNTER_TRACKER_H_
#define LIBS_PLACEMENT_COUNTER_TRACKER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libs/base/strong_type.h"

namespace bilberryspool::placement {

// Identifies a reading; 0 stands for none.
using ReadingMark = StrongNumber<struct ReadingMarkTag>;

// Counters of one rank, by layer, then expert.
struct CounterReading {
  std::vector<std::uint64_t> counters;
  std::uint64_t step = 0;  // step that the rank had begun
  // Number of requests in progress.
  std::uint32_t requests = 0;
};

// Increase between two readings of the same engine process.
struct CounterGrowth {
  std::uint64_t steps = 0;
  std::uint32_t requests = 0;
  // By layer, then expert.
  std::vector<std::uint32_t> picks;
};

class CounterTracker {
 public:
  // `first` must be random for each process start, so that marks issued before
  // a restart match no reading.
  explicit CounterTracker(ReadingMark first) : mark_(first) {}

  // Stores a new reading under the next mark. Returns the increase since the
  // reading marked `since`, or nothing if that is not the last reading or the
  // engine was restarted in between.
  std::optional<CounterGrowth> Take(CounterReading reading, ReadingMark since);

  // Mark of the last reading.
  ReadingMark mark() const { return mark_; }

 private:
  std::optional<CounterReading> last_;
  ReadingMark mark_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_COUNTER_TRACKER_H_
