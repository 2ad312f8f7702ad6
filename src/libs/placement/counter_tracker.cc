#include "libs/placement/counter_tracker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bilberryspool::placement {

namespace {

// Returns whether `reading` comes from the same engine process as `last` and is
// not older.
bool IsLater(const CounterReading& reading, const CounterReading& last) {
  if (reading.step < last.step ||
      reading.counters.size() != last.counters.size()) {
    return false;
  }
  for (std::size_t i = 0; i < last.counters.size(); ++i) {
    if (reading.counters[i] < last.counters[i]) {
      return false;
    }
  }
  return true;
}

CounterGrowth GrowthBetween(const CounterReading& last,
                            const CounterReading& reading) {
  constexpr std::uint64_t kMaxPicks = std::numeric_limits<std::uint32_t>::max();
  CounterGrowth growth;
  growth.steps = reading.step - last.step;
  growth.requests = reading.requests;
  growth.picks.reserve(reading.counters.size());
  for (std::size_t i = 0; i < reading.counters.size(); ++i) {
    const std::uint64_t picks = reading.counters[i] - last.counters[i];
    growth.picks.push_back(
        static_cast<std::uint32_t>(std::min(picks, kMaxPicks)));
  }
  return growth;
}

}  // namespace

std::optional<CounterGrowth> CounterTracker::Take(CounterReading reading,
                                                  ReadingMark since) {
  std::optional<CounterGrowth> growth;
  if (last_.has_value() && since == mark_ && IsLater(reading, *last_)) {
    growth = GrowthBetween(*last_, reading);
  }
  last_ = std::move(reading);
  mark_ = mark_.Next();
  return growth;
}

}  // namespace bilberryspool::placement
