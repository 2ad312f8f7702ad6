#include "libs/traffic/group_availability.h"

#include <algorithm>

namespace bilberryspool::traffic {

void GroupAvailability::OnAnnouncement(const TargetAnnouncement& announcement,
                                       bool has_returned,
                                       TimePoint now) {
  if (!announcement.group.has_value() ||
      announcement.standing != Standing::kReady) {
    return;
  }
  Group& group = groups_[announcement.service][announcement.group->group];
  if (announcement.group->epoch < group.epoch) {
    // The rank has not learned of the newer epoch yet, or has just started.
    if (has_returned && !group.is_open) {
      group.returned_at = now;
    }
    return;
  }
  const bool is_newer = announcement.group->epoch > group.epoch;
  const bool was_open = group.is_open;
  group.epoch = announcement.group->epoch;
  // A group that broke does not open again within the same epoch.
  group.is_open = announcement.group->is_open && (is_newer || was_open);
  if (group.is_open) {
    group.returned_at.reset();
  } else if (has_returned) {
    group.returned_at = now;
  }
}

void GroupAvailability::OnReconnected(TimePoint now) {
  for (auto& [service, groups] : groups_) {
    for (auto& [id, group] : groups) {
      if (!group.is_open) {
        group.returned_at = now;
      }
    }
  }
}

void GroupAvailability::OnServed(const ServiceId& service) {
  const auto found = groups_.find(service);
  // With several groups it is unknown which one served the request.
  if (found != groups_.end() && found->second.size() == 1) {
    Group& group = found->second.begin()->second;
    group.is_open = true;
    group.returned_at.reset();
  }
}

Availability GroupAvailability::AvailabilityOf(const ServiceId& service,
                                               TimePoint now) const {
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return Availability::kOpen;
  }
  const auto& groups = found->second;
  const bool any_open =
      std::any_of(groups.begin(), groups.end(),
                  [](const auto& item) { return item.second.is_open; });
  if (any_open) {
    return Availability::kOpen;
  }
  return now < forming_until(service) ? Availability::kForming
                                      : Availability::kBroken;
}

TimePoint GroupAvailability::forming_until(const ServiceId& service) const {
  TimePoint until;
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return until;
  }
  for (const auto& [id, group] : found->second) {
    if (!group.is_open && group.returned_at.has_value()) {
      until = std::max(until, *group.returned_at + options_.formation_time);
    }
  }
  return until;
}

}  // namespace bilberryspool::traffic
