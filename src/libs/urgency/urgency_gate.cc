#include "libs/urgency/urgency_gate.h"

#include <algorithm>

namespace bilberryspool::urgency {

double UrgencyGate::ShareOf(std::uint32_t priority,
                            const std::vector<std::uint32_t>& priorities,
                            double load) const {
  // Number of classes that are less urgent.
  const auto below = std::distance(
      std::upper_bound(priorities.begin(), priorities.end(), priority),
      priorities.end());
  const bool is_most_urgent =
      priorities.size() < 2 || priority <= priorities.front();
  if (is_most_urgent) {
    return 1.0;
  }
  const double from =
      options_.thin_from + options_.band * static_cast<double>(below);
  return std::clamp(1.0 - (load - from) / options_.band, options_.min_share,
                    1.0);
}

bool UrgencyGate::MayPass(const ServiceId& service,
                          std::uint32_t priority,
                          const std::vector<std::uint32_t>& priorities,
                          std::optional<double> load) {
  if (!load.has_value()) {
    return true;
  }
  const double share = ShareOf(priority, priorities, *load);
  if (share >= 1.0) {
    return true;
  }
  // Starts half full, so that gateways with few requests let pass as many.
  double& credit = credits_.try_emplace({service, priority}, 0.5).first->second;
  credit += share;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}  // namespace bilberryspool::urgency
