#include "libs/urgency/urgency_gate.h"

#include <algorithm>

namespace bilberryspool::urgency {

double UrgencyGate::ShareOf(std::uint32_t rank,
                            std::size_t ranks,
                            double load) const {
  if (rank == 0 || rank >= ranks) {
    return 1.0;
  }
  const auto less_urgent = static_cast<double>(ranks - 1 - rank);
  const double from = options_.thin_from + options_.band * less_urgent;
  return std::clamp(1.0 - (load - from) / options_.band, options_.min_share,
                    1.0);
}

bool UrgencyGate::MayPass(const ServiceId& service,
                          std::uint32_t rank,
                          std::size_t ranks,
                          std::optional<double> load) {
  if (!load.has_value()) {
    return true;
  }
  const double share = ShareOf(rank, ranks, *load);
  if (share >= 1.0) {
    return true;
  }
  // Starts half full, so that gateways with few requests let pass as many.
  double& credit = credits_.try_emplace({service, rank}, 0.5).first->second;
  credit += share;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}  // namespace bilberryspool::urgency
