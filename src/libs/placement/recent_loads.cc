#include "libs/placement/recent_loads.h"

#include <cmath>

namespace bilberryspool::placement {

RecentLoads::RecentLoads(RecentLoadsOptions options)
    : options_(options), loads_(options.layers, options.experts) {}

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

void RecentLoads::Observe(RankIndex rank,
                          const std::vector<std::uint64_t>& counters,
                          TimePoint now) {
  std::vector<double>& loads = loads_.values();
  if (counters.size() != loads.size()) {
    return;
  }
  Decay(now);
  const auto [mark, is_first] = marks_.try_emplace(rank, counters);
  if (is_first) {
    return;
  }
  for (std::size_t i = 0; i < counters.size(); ++i) {
    if (counters[i] < mark->second[i]) {
      mark->second = counters;
      return;
    }
  }
  std::vector<double> grown(counters.size());
  for (std::size_t i = 0; i < counters.size(); ++i) {
    grown[i] = static_cast<double>(counters[i] - mark->second[i]);
  }
  mark->second = counters;
  Add(grown);
}

// 1 where nothing can be told yet.
double RecentLoads::LikenessOf(const std::vector<double>& grown,
                               std::size_t layer) const {
  const std::vector<double>& known = loads_.values();
  double product = 0.0;
  double grown_square = 0.0;
  double known_square = 0.0;
  double grown_sum = 0.0;
  double known_sum = 0.0;
  for (std::size_t i = layer * options_.experts;
       i < (layer + 1) * options_.experts; ++i) {
    product += grown[i] * known[i];
    grown_square += grown[i] * grown[i];
    known_square += known[i] * known[i];
    grown_sum += grown[i];
    known_sum += known[i];
  }
  if (grown_sum < options_.least_counts || known_sum < options_.least_counts) {
    return 1.0;
  }
  return product / std::sqrt(grown_square * known_square);
}

void RecentLoads::Add(const std::vector<double>& grown) {
  std::vector<double>& loads = loads_.values();
  for (std::size_t layer = 0; layer < options_.layers; ++layer) {
    const bool has_changed = LikenessOf(grown, layer) < options_.least_likeness;
    for (std::size_t i = layer * options_.experts;
         i < (layer + 1) * options_.experts; ++i) {
      if (has_changed) {
        weight_ -= loads[i];
        loads[i] = 0.0;
      }
      loads[i] += grown[i];
      weight_ += grown[i];
    }
  }
}

}  // namespace bilberryspool::placement
