#include "libs/group_loads/group_load_view.h"

#include <algorithm>

namespace bilberryspool::group_loads {

void GroupLoadView::OnReported(const std::string& source,
                               const std::vector<GroupLoad>& loads,
                               TimePoint now) {
  std::set<GroupId> reported;
  for (const GroupLoad& load : loads) {
    Group& group = groups_[load.group];
    const bool has_trend = group.source == source && IsFresh(group, now);
    const double change = static_cast<double>(load.requests()) -
                          static_cast<double>(group.load.requests());
    group.trend = has_trend && load.room > 0
                      ? std::clamp(change / load.room, -options_.max_trend,
                                   options_.max_trend)
                      : 0.0;
    group.load = load;
    group.source = source;
    group.received_at = now;
    group.sent = 0;
    reported.insert(load.group);
  }
  std::erase_if(groups_, [&](const auto& item) {
    return item.second.source == source && !reported.contains(item.first);
  });
}

void GroupLoadView::OnGroupRefused(const GroupId& id, TimePoint now) {
  const auto found = groups_.find(id);
  if (found != groups_.end()) {
    found->second.refused_until = now + options_.refusal_pause;
  }
}

void GroupLoadView::OnSent(const GroupId& id) {
  const auto found = groups_.find(id);
  if (found != groups_.end()) {
    ++found->second.sent;
  }
}

double GroupLoadView::RoomOf(const Group& group) const {
  const auto share = usable_shares_.find(group.load.group);
  return share == usable_shares_.end() ? 0.0 : share->second * group.load.room;
}

bool GroupLoadView::IsFresh(const Group& group, TimePoint now) const {
  return now - group.received_at <= options_.freshness;
}

bool GroupLoadView::MayChoose(const Group& group, TimePoint now) const {
  return IsFresh(group, now) && group.load.is_open && RoomOf(group) > 0.0 &&
         now >= group.refused_until;
}

std::optional<double> GroupLoadView::FractionOf(const ServiceId& service,
                                                TimePoint now) const {
  double requests = 0.0;
  double room = 0.0;
  for (const auto& [id, group] : groups_) {
    if (group.load.service == service && MayChoose(group, now)) {
      const double known = group.load.requests() + group.sent;
      requests += std::max(0.0, known + group.trend * group.load.room);
      room += RoomOf(group);
    }
  }
  return room > 0.0 ? std::optional<double>(requests / room) : std::nullopt;
}

std::optional<bool> GroupLoadView::IsOpen(const GroupId& id,
                                          TimePoint now) const {
  const auto found = groups_.find(id);
  if (found == groups_.end() || !IsFresh(found->second, now)) {
    return std::nullopt;
  }
  return MayChoose(found->second, now);
}

bool GroupLoadView::HasSeveralGroups(const ServiceId& service,
                                     TimePoint now) const {
  return std::count_if(groups_.begin(), groups_.end(), [&](const auto& item) {
           return item.second.load.service == service &&
                  IsFresh(item.second, now);
         }) > 1;
}

std::optional<GroupId> GroupLoadView::Choose(const ServiceId& service,
                                             double draw,
                                             TimePoint now) const {
  std::vector<std::pair<const GroupId*, double>> weights;
  double sum = 0.0;
  for (const auto& [id, group] : groups_) {
    if (group.load.service != service || !MayChoose(group, now)) {
      continue;
    }
    const double room = RoomOf(group);
    const double used = group.load.requests() + group.sent;
    const double weight = std::max((1.0 + options_.extra_room) * room - used,
                                   options_.min_weight * room);
    weights.emplace_back(&id, weight);
    sum += weight;
  }
  for (const auto& [id, weight] : weights) {
    draw -= weight / sum;
    if (draw < 0.0) {
      return *id;
    }
  }
  return weights.empty() ? std::nullopt
                         : std::optional<GroupId>(*weights.back().first);
}

}  // namespace bilberryspool::group_loads
