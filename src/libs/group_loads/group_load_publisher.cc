#include "libs/group_loads/group_load_publisher.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::group_loads {

bool GroupLoadPublisher::Offer(std::vector<GroupLoad> loads, TimePoint now) {
  if (loads.empty() && published_.empty()) {
    return false;
  }
  // Gateways should not send more requests to a group that has just broken.
  const auto any_closed = [](const std::vector<GroupLoad>& groups) {
    return std::count_if(groups.begin(), groups.end(),
                         [](const GroupLoad& load) { return !load.is_open; });
  };
  const bool is_urgent =
      loads.empty() || any_closed(loads) != any_closed(published_);
  const Duration interval = is_urgent ? options_.min_interval : Interval(loads);
  if (now - published_at_ < interval) {
    return false;
  }
  published_ = std::move(loads);
  published_at_ = now;
  ++revision_;
  return true;
}

Duration GroupLoadPublisher::Interval(
    const std::vector<GroupLoad>& loads) const {
  const bool is_slack =
      std::all_of(loads.begin(), loads.end(), [&](const GroupLoad& load) {
        return load.requests() < options_.slack_fraction * load.room;
      });
  const Duration interval =
      std::max(options_.min_interval, options_.interval_per_reader *
                                          static_cast<Duration::rep>(readers_));
  return is_slack ? std::max(interval, options_.slack_interval) : interval;
}

}  // namespace bilberryspool::group_loads
