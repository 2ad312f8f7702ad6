#include "libs/group_loads/group_load_publisher.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::group_loads {

namespace {

std::size_t CountClosed(const std::vector<GroupLoad>& loads) {
  return static_cast<std::size_t>(
      std::count_if(loads.begin(), loads.end(),
                    [](const GroupLoad& load) { return !load.is_open; }));
}

}  // namespace

bool GroupLoadPublisher::Offer(std::vector<GroupLoad> loads, TimePoint now) {
  const bool has_none = loads.empty() && published_.empty();
  if (has_none || now - published_at_ < options_.min_interval) {
    return false;
  }
  const bool is_urgent = IsUrgent(loads, now);
  published_ = std::move(loads);
  published_at_ = now;
  ++revision_;
  if (is_urgent) {
    urgent_at_ = now;
    urgent_revision_ = revision_;
  }
  return is_urgent;
}

bool GroupLoadPublisher::IsUrgent(const std::vector<GroupLoad>& loads,
                                  TimePoint now) const {
  // Gateways should not send more requests to a group that has just broken.
  if (loads.size() != published_.size() ||
      CountClosed(loads) != CountClosed(published_)) {
    return true;
  }
  const Duration interval = options_.urgent_interval_per_reader *
                            static_cast<Duration::rep>(readers_);
  const bool is_scarce =
      std::any_of(loads.begin(), loads.end(), [&](const GroupLoad& load) {
        return load.requests() > options_.scarce_from * load.room;
      });
  return is_scarce && now - urgent_at_ >= interval;
}

}  // namespace bilberryspool::group_loads
