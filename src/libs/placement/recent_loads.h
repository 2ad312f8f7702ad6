// The work of each expert lately, from what was added up at the ranks.

#ifndef LIBS_PLACEMENT_RECENT_LOADS_H_
#define LIBS_PLACEMENT_RECENT_LOADS_H_

#include <cstdint>
#include <vector>

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
  // fit neither.
  double min_similarity = 0.93;
  // Counts of a layer, of all ranks together, are gathered until there are this
  // many, and then compared: of fewer, chance looks like a change of demand; of
  // one rank's alone there are mostly fewer.
  double min_counts = 2'000.0;
};

// Pure: work and `now` in, loads out.
class RecentLoads {
 public:
  explicit RecentLoads(RecentLoadsOptions options);

  // Work of some ranks since the last call, by layer, then expert. Of another
  // number of experts it is left out.
  void Add(const std::vector<double>& work, TimePoint now);

  const ExpertLoads& loads() const { return loads_; }
  // Counts that the loads rest on, decayed.
  double weight() const { return weight_; }

 private:
  void Decay(TimePoint now);
  void MergePending();
  void MergeLayer(std::size_t layer);
  double PendingCounts(std::size_t layer) const;
  double SimilarityOf(std::size_t layer) const;

  RecentLoadsOptions options_;
  ExpertLoads loads_;
  // Counts that are still too few to be compared, by layer, then expert.
  std::vector<double> pending_;
  double weight_ = 0.0;
  TimePoint decayed_at_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_RECENT_LOADS_H_
