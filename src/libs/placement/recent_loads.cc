#include "libs/placement/recent_loads.h"

#include <cmath>

namespace bilberryspool::placement {

RecentLoads::RecentLoads(RecentLoadsOptions options)
    : options_(options),
      loads_(options.layers, options.experts),
      gathered_(loads_.values().size()) {}

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
  if (work.size() != gathered_.size()) {
    return;
  }
  Decay(now);
  for (std::size_t i = 0; i < work.size(); ++i) {
    gathered_[i] += work[i];
  }
  TakeGathered();
}

void RecentLoads::TakeGathered() {
  for (std::size_t layer = 0; layer < options_.layers; ++layer) {
    if (GatheredOf(layer) >= options_.least_counts) {
      TakeLayer(layer);
    }
  }
}

double RecentLoads::GatheredOf(std::size_t layer) const {
  double sum = 0.0;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    sum += gathered_[i];
  }
  return sum;
}

// 1 where nothing can be told yet.
double RecentLoads::LikenessOf(std::size_t layer) const {
  const std::vector<double>& known = loads_.values();
  double product = 0.0;
  double gathered_square = 0.0;
  double known_square = 0.0;
  double known_sum = 0.0;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    product += gathered_[i] * known[i];
    gathered_square += gathered_[i] * gathered_[i];
    known_square += known[i] * known[i];
    known_sum += known[i];
  }
  if (known_sum < options_.least_counts) {
    return 1.0;
  }
  return product / std::sqrt(gathered_square * known_square);
}

void RecentLoads::TakeLayer(std::size_t layer) {
  std::vector<double>& loads = loads_.values();
  const bool has_changed = LikenessOf(layer) < options_.least_likeness;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    if (has_changed) {
      weight_ -= loads[i];
      loads[i] = 0.0;
    }
    loads[i] += gathered_[i];
    weight_ += gathered_[i];
    gathered_[i] = 0.0;
  }
}

}  // namespace bilberryspool::placement
