#include "libs/traffic/group_outlook.h"

#include <algorithm>

namespace bilberryspool::traffic {

void GroupOutlook::Note(const TargetAnnouncement& told,
                        bool has_returned,
                        TimePoint now) {
  if (!told.group.has_value() || told.standing != Standing::kReady) {
    return;
  }
  Group& group = groups_[told.service][told.group->group];
  if (told.group->epoch < group.epoch) {
    // A rank that has not heard of the newer epoch, or has just started.
    if (has_returned && !group.is_open) {
      group.returned_at = now;
    }
    return;
  }
  const bool is_newer = told.group->epoch > group.epoch;
  const bool was_open = group.is_open;
  group.epoch = told.group->epoch;
  // Within one epoch a group that has broken does not open again.
  group.is_open = told.group->is_open && (is_newer || was_open);
  if (group.is_open) {
    group.returned_at.reset();
  } else if (has_returned) {
    group.returned_at = now;
  }
}

void GroupOutlook::NoteReturn(TimePoint now) {
  for (auto& [service, groups] : groups_) {
    for (auto& [id, group] : groups) {
      if (!group.is_open) {
        group.returned_at = now;
      }
    }
  }
}

void GroupOutlook::NoteServed(const ServiceId& service) {
  const auto found = groups_.find(service);
  // With several groups it is not known which one served.
  if (found != groups_.end() && found->second.size() == 1) {
    Group& group = found->second.begin()->second;
    group.is_open = true;
    group.returned_at.reset();
  }
}

void GroupOutlook::SetStanding(const std::string& source,
                               const std::set<GroupId>& groups,
                               TimePoint now) {
  auto& known = standing_[source];
  std::erase_if(known,
                [&](const auto& item) { return !groups.contains(item.first); });
  for (const GroupId& group : groups) {
    known.try_emplace(group, Stop{now, now}).first->second.told_at = now;
  }
}

void GroupOutlook::NoteHeard(const GroupId& group, TimePoint now) {
  heard_at_[group] = now;
}

bool GroupOutlook::IsStanding(const GroupId& group, TimePoint now) const {
  const auto heard = heard_at_.find(group);
  return std::any_of(standing_.begin(), standing_.end(), [&](const auto& item) {
    const auto found = item.second.find(group);
    return found != item.second.end() &&
           now - found->second.told_at <= options_.standing_memory &&
           (heard == heard_at_.end() || heard->second <= found->second.since);
  });
}

Outlook GroupOutlook::OutlookOf(const ServiceId& service, TimePoint now) const {
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return Outlook::kOpen;
  }
  const auto& groups = found->second;
  bool is_any_standing = false;
  for (const auto& [id, group] : groups) {
    if (!group.is_open) {
      continue;
    }
    if (!IsStanding(id, now)) {
      return Outlook::kOpen;
    }
    is_any_standing = true;
  }
  if (now < forms_until(service)) {
    return Outlook::kForming;
  }
  return is_any_standing ? Outlook::kStanding : Outlook::kBroken;
}

TimePoint GroupOutlook::forms_until(const ServiceId& service) const {
  TimePoint until;
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return until;
  }
  for (const auto& [id, group] : found->second) {
    if (!group.is_open && group.returned_at.has_value()) {
      until = std::max(until, *group.returned_at + options_.forming);
    }
  }
  return until;
}

}  // namespace bilberryspool::traffic
