// Recent load of each expert, from the sums of PickSums.

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
  // Half-life of the weight of a count.
  Duration half_life = Milliseconds(1000);
  // Demand can change from one step to the next. If the cosine similarity of a
  // layer's new counts and its previous loads is below this, the previous loads
  // are discarded, because a mean of both would fit neither.
  double min_similarity = 0.93;
  // Minimum number of counts of a layer, over all ranks, before they are
  // compared and merged. With fewer counts, random variation looks like a
  // change of demand; a single rank mostly has fewer.
  double min_counts = 2'000.0;
};

// Exponentially decayed loads that are reset when demand changes. Performs no
// I/O; depends only on its inputs.
class RecentLoads {
 public:
  explicit RecentLoads(RecentLoadsOptions options);

  // Adds the work of some ranks since the last call, by layer, then expert.
  // Ignored if the number of experts differs.
  void Add(const std::vector<double>& work, TimePoint now);

  const ExpertLoads& loads() const { return loads_; }
  // Decayed number of counts in the loads.
  double weight() const { return weight_; }

 private:
  void Decay(TimePoint now);
  void MergePending();
  void MergeLayer(std::size_t layer);
  double PendingCounts(std::size_t layer) const;
  double SimilarityOf(std::size_t layer) const;

  RecentLoadsOptions options_;
  ExpertLoads loads_;
  // Counts not yet merged because there are too few, by layer, then expert.
  std::vector<double> pending_;
  double weight_ = 0.0;
  TimePoint decayed_at_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_RECENT_LOADS_H_
