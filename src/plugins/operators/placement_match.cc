#include "plugins/operators/placement_match.h"

#include <algorithm>

namespace bilberryspool::operators {

namespace {

bool KindsMatch(config::ServiceKind service, membership::TargetKind target) {
  return (service == config::ServiceKind::kPlain) ==
         (target == membership::TargetKind::kPlain);
}

}  // namespace

bool MayServe(const membership::Announcement& announcement,
              const config::ServiceSpec& service,
              const config::Configuration& configuration) {
  if (!KindsMatch(service.kind, announcement.kind)) {
    return false;
  }
  const auto& placements = configuration.table<config::PlacementSpec>();
  return std::any_of(
      placements.begin(), placements.end(), [&](const auto& item) {
        return item.first.service == service.id &&
               config::Selects(item.first.targets, announcement.target,
                               announcement.domain);
      });
}

bool MayHoldRank(const membership::Announcement& announcement,
                 const config::GroupSpec& group) {
  return config::MayHoldRank(group, announcement.target, announcement.domain);
}

}  // namespace bilberryspool::operators
