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
  // After this long a count weighs half.
  Duration half_life = Milliseconds(1000);
  // What is in demand may change from one step to the next. Where the latest
  // counts of a layer are less alike than this to those before (the cosine of
  // the angle between them), those before are forgotten: a mean of both would
  // fit neither. Between readings of half a second without a change it was
  // 0.97 to 1.00, across a change of the most wanted expert 0.37 to 0.72.
  double least_likeness = 0.93;
  // Fewer counts of a layer than this are too few to tell.
  double least_counts = 5'000.0;
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
  void Add(const std::vector<double>& grown);
  double LikenessOf(const std::vector<double>& grown, std::size_t layer) const;

  RecentLoadsOptions options_;
  std::map<RankIndex, std::vector<std::uint64_t>> marks_;
  ExpertLoads loads_;
  double weight_ = 0.0;
  TimePoint decayed_at_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_RECENT_LOADS_H_
