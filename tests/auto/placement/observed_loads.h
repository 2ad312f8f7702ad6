// Loads as a leader computes them for ranks that a single node reads: the
// counters of each rank are tracked, summed and merged at once.

#ifndef AUTO_PLACEMENT_OBSERVED_LOADS_H_
#define AUTO_PLACEMENT_OBSERVED_LOADS_H_

#include <map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/placement/counter_tracker.h"
#include "libs/placement/pick_sums.h"
#include "libs/placement/recent_loads.h"

namespace bilberryspool::placement {

class ObservedLoads {
 public:
  ObservedLoads(RecentLoadsOptions options, PickWeightOptions work)
      : sums_(work,
              std::size_t{options.layers} * options.experts,
              ReadingMark(1)),
        loads_(options) {}

  void Observe(RankIndex rank, const CounterReading& reading, TimePoint now) {
    CounterTracker& tracker =
        trackers_.try_emplace(rank, ReadingMark(1)).first->second;
    const auto growth = tracker.Take(reading, tracker.mark());
    if (growth.has_value()) {
      sums_.Add(*growth);
    }
    loads_.Add(sums_.Take(sums_.mark()), now);
  }
  void Add(const std::vector<double>& work, TimePoint now) {
    loads_.Add(work, now);
  }

  const ExpertLoads& loads() const { return loads_.loads(); }
  double weight() const { return loads_.weight(); }

 private:
  std::map<RankIndex, CounterTracker> trackers_;
  PickSums sums_;
  RecentLoads loads_;
};

}  // namespace bilberryspool::placement

#endif  // AUTO_PLACEMENT_OBSERVED_LOADS_H_
