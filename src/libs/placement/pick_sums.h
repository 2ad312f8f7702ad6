// The work that several ranks' experts got, added up where it was read.
//
// A leader that reads every rank of a large group itself spends the processor
// time of its small VM on counts and is late for all else. So other nodes read
// a part of the ranks each, and give one sum. A sum is handed out once: it is
// named by a mark as single readings are, and what an asker may not have got is
// left out rather than counted twice.
//
// Pure.

#ifndef LIBS_PLACEMENT_PICK_SUMS_H_
#define LIBS_PLACEMENT_PICK_SUMS_H_

#include <cstddef>
#include <vector>

#include "libs/placement/counter_tracker.h"
#include "libs/placement/pick_weight_estimator.h"

namespace bilberryspool::placement {

class PickSums {
 public:
  // `counters` is how many experts all layers have together.
  PickSums(PickWeightOptions work, std::size_t counters, ReadingMark first)
      : work_(work), counters_(counters), mark_(first) {}

  // One rank's growth, weighed by the work behind it. One of another number of
  // counters is left out.
  void Add(const CounterGrowth& growth);

  // The work by layer, then expert, since the sum that `since` names was taken;
  // empty where that was not the last one, or where nothing came. The next sum
  // begins.
  std::vector<double> Take(ReadingMark since);

  // Of the last sum that was taken.
  ReadingMark mark() const { return mark_; }

 private:
  PickWeightEstimator work_;
  std::size_t counters_;
  std::vector<double> sum_;
  ReadingMark mark_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_PICK_SUMS_H_
