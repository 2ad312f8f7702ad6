// Sums the work of the experts over the ranks that a node reads.
//
// If the leader read every rank of a large group itself, processing the counts
// would use up the CPU time of its small VM and delay everything else. Other
// nodes therefore read a part of the ranks each and return one sum. Each sum is
// returned once and identified by a mark like a single reading. A sum that the
// requester may not have received is dropped rather than counted twice.
//
// Performs no I/O; depends only on its inputs.

#ifndef LIBS_PLACEMENT_PICK_SUMS_H_
#define LIBS_PLACEMENT_PICK_SUMS_H_

#include <cstddef>
#include <vector>

#include "libs/placement/counter_tracker.h"
#include "libs/placement/pick_weight_estimator.h"

namespace bilberryspool::placement {

class PickSums {
 public:
  // `counters` is the total number of experts in all layers. `first` must be
  // random for each process start, see CounterTracker.
  PickSums(PickWeightOptions work, std::size_t counters, ReadingMark first)
      : work_(work), counters_(counters), mark_(first) {}

  // Adds the increase of one rank's counters, weighted by the work that it
  // stands for. Ignored if the number of counters differs.
  void Add(const CounterGrowth& growth);

  // Returns the work by layer, then expert, since the sum marked `since`, and
  // starts the next sum. Empty if that was not the last sum or if nothing was
  // added.
  std::vector<double> Take(ReadingMark since);

  // Mark of the last sum returned.
  ReadingMark mark() const { return mark_; }

 private:
  PickWeightEstimator work_;
  std::size_t counters_;
  std::vector<double> sum_;
  ReadingMark mark_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_PICK_SUMS_H_
