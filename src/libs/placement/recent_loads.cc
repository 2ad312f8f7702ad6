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
  for (std::size_t i = 0; i < counters.size(); ++i) {
    const auto grown = static_cast<double>(counters[i] - mark->second[i]);
    loads[i] += grown;
    weight_ += grown;
  }
  mark->second = counters;
}

}  // namespace bilberryspool::placement
