// The work of each expert lately, from counters that only grow.

#ifndef LIBS_PLACEMENT_RECENT_LOADS_H_
#define LIBS_PLACEMENT_RECENT_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/placement/expert_loads.h"

namespace bilberryspool::placement {

struct RecentLoadsOptions {
  std::uint32_t layers = 0;
  std::uint32_t experts = 0;
  // After this long a count weighs half. Short, because what is in demand may
  // change within seconds, and counts of a second are thousands.
  Duration half_life = Milliseconds(1500);
};

// Pure: counter readings and `now` in, loads out.
class RecentLoads {
 public:
  explicit RecentLoads(RecentLoadsOptions options);

  // The counters of one rank, by layer, then expert. The first reading of a
  // rank, and one that is lower than the last (the rank has restarted), only
  // set the mark.
  void Observe(RankIndex rank,
               const std::vector<std::uint64_t>& counters,
               TimePoint now);

  const ExpertLoads& loads() const { return loads_; }
  // Counts that the loads rest on, decayed.
  double weight() const { return weight_; }

 private:
  void Decay(TimePoint now);

  RecentLoadsOptions options_;
  std::map<RankIndex, std::vector<std::uint64_t>> marks_;
  ExpertLoads loads_;
  double weight_ = 0.0;
  TimePoint decayed_at_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_RECENT_LOADS_H_
