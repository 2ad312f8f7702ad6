// What the counters of one engine have grown by since an earlier reading.
//
// Counters only grow, and all of them together are long; most of a reading is
// the same as the last one. Whoever follows them therefore gives the growth
// alone. The asker names the reading that it has by its mark, so that a growth
// is never counted twice: an answer that was lost, doubled or late leaves the
// asker with a mark that is not the last one given, and the growth in between
// is left out.
//
// Pure.

#ifndef LIBS_PLACEMENT_COUNTER_TRACKER_H_
#define LIBS_PLACEMENT_COUNTER_TRACKER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libs/base/strong_type.h"

namespace bilberryspool::placement {

// Names one reading; 0 names none.
using ReadingMark = StrongNumber<struct ReadingMarkTag>;

// One rank's counters, by layer, then expert, at the step that it had begun.
struct CounterReading {
  std::vector<std::uint64_t> counters;
  std::uint64_t step = 0;
  // Requests that it runs.
  std::uint32_t requests = 0;
};

// Between two readings of one start of an engine.
struct CounterGrowth {
  std::uint64_t steps = 0;
  std::uint32_t requests = 0;
  // By layer, then expert.
  std::vector<std::uint32_t> picks;
};

class CounterTracker {
 public:
  // `first` is drawn at the start of the process, so that marks given before a
  // restart name no reading.
  explicit CounterTracker(ReadingMark first) : mark_(first) {}

  // Takes a new reading and gives it the next mark. Returns the growth since
  // the reading that `since` names; nothing where that is not the last one, or
  // where the engine has started again.
  std::optional<CounterGrowth> Take(CounterReading reading, ReadingMark since);

  // Of the last reading.
  ReadingMark mark() const { return mark_; }

 private:
  std::optional<CounterReading> last_;
  ReadingMark mark_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_COUNTER_TRACKER_H_
