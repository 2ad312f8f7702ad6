// Counts events of the recent past in slices of time.
//
// Pure: `now` is an argument; memory does not grow with the number of events.

#ifndef LIBS_LIMITS_SLICED_COUNT_H_
#define LIBS_LIMITS_SLICED_COUNT_H_

#include <cstdint>
#include <deque>

#include "libs/base/time.h"

namespace bilberryspool::limits {

class SlicedCount {
 public:
  // Events are kept for `retention` at least. An event is known to have
  // happened within a period of length `slice`.
  SlicedCount(Duration slice, Duration retention)
      : slice_(slice), retention_(retention) {}

  void Add(TimePoint now);
  // Lower and upper bound of the number of events later than `from`. `from`
  // must not be older than the retention time.
  std::uint64_t AtLeastSince(TimePoint from) const;
  std::uint64_t AtMostSince(TimePoint from) const;

 private:
  struct Slice {
    TimePoint begin;
    std::uint64_t count = 0;
  };

  Duration slice_;
  Duration retention_;
  std::deque<Slice> slices_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_SLICED_COUNT_H_
