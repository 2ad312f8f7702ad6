#include "libs/placement/recent_loads.h"

#include <cmath>

namespace bilberryspool::placement {

RecentLoads::RecentLoads(RecentLoadsOptions options)
    : options_(options),
      loads_(options.layers, options.experts),
      pending_(loads_.values().size()) {}

void RecentLoads::Decay(TimePoint now) {
  const double halvings =
      ToSeconds(now - decayed_at_) / ToSeconds(options_.half_life);
  const double factor = std::exp2(-halvings);
  for (double& load : loads_.values()) {
    load *= factor;
  }
  weight_ *= factor;
  decayed_at_ = now;
}

void RecentLoads::Add(const std::vector<double>& work, TimePoint now) {
  if (work.size() != pending_.size()) {
    return;
  }
  Decay(now);
  for (std::size_t i = 0; i < work.size(); ++i) {
    pending_[i] += work[i];
  }
  MergePending();
}

void RecentLoads::MergePending() {
  for (std::size_t layer = 0; layer < options_.layers; ++layer) {
    if (PendingCounts(layer) >= options_.min_counts) {
      MergeLayer(layer);
    }
  }
}

double RecentLoads::PendingCounts(std::size_t layer) const {
  double sum = 0.0;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    sum += pending_[i];
  }
  return sum;
}

// Cosine similarity of the pending counts and the loads of the layer; 1 while
// the loads have too few counts to compare.
double RecentLoads::SimilarityOf(std::size_t layer) const {
  const std::vector<double>& known = loads_.values();
  double product = 0.0;
  double pending_square = 0.0;
  double known_square = 0.0;
  double known_sum = 0.0;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    product += pending_[i] * known[i];
    pending_square += pending_[i] * pending_[i];
    known_square += known[i] * known[i];
    known_sum += known[i];
  }
  if (known_sum < options_.min_counts) {
    return 1.0;
  }
  return product / std::sqrt(pending_square * known_square);
}

void RecentLoads::MergeLayer(std::size_t layer) {
  std::vector<double>& loads = loads_.values();
  const bool has_changed = SimilarityOf(layer) < options_.min_similarity;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    if (has_changed) {
      weight_ -= loads[i];
      loads[i] = 0.0;
    }
    loads[i] += pending_[i];
    weight_ += pending_[i];
    pending_[i] = 0.0;
  }
}

}  // namespace bilberryspool::placement
