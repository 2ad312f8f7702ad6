#include "libs/urgency/stream_pauses.h"

#include <algorithm>

namespace bilberryspool::urgency {

void StreamPauses::OnPause(const ServiceId& service,
                           Duration pause,
                           const StepTimes& times) {
  const double max_gap = ToSeconds(times.max_gap);
  const double fixed = ToSeconds(times.fixed);
  const double room = options_.usable_gap * max_gap - fixed;
  if (room <= 0.0 || ToSeconds(pause) > options_.max_factor * max_gap) {
    return;
  }
  Service& known = services_[service];
  known.max_load = (max_gap - fixed) / room;
  known.loads.push_back((ToSeconds(pause) - fixed) / room);
}

void StreamPauses::Tick(TimePoint now) {
  const bool was_late = now - ticked_at_ > options_.max_tick_interval;
  ticked_at_ = now;
  if (was_late) {
    for (auto& [id, service] : services_) {
      service.loads.clear();
    }
    window_began_at_ = now;
    return;
  }
  if (now - window_began_at_ < options_.window) {
    return;
  }
  window_began_at_ = now;
  for (auto& [id, service] : services_) {
    CloseWindow(service, now);
  }
}

void StreamPauses::CloseWindow(Service& service, TimePoint now) const {
  std::vector<double>& loads = service.loads;
  while (!service.windows.empty() &&
         now - service.windows.front().at > options_.memory) {
    service.windows.pop_front();
  }
  while (!service.late_at.empty() &&
         now - service.late_at.front() > options_.late_memory) {
    service.late_at.pop_front();
  }
  if (loads.size() < options_.min_pauses) {
    return;
  }
  const auto place = loads.begin() +
                     static_cast<std::ptrdiff_t>(
                         options_.quantile * static_cast<double>(loads.size()));
  std::nth_element(loads.begin(), place, loads.end());
  service.windows.push_back({now, *place});
  if (*place > service.max_load) {
    service.late_at.push_back(now);
  }
  loads.clear();
}

std::optional<double> StreamPauses::LoadOf(const ServiceId& service,
                                           TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  std::optional<double> load;
  for (const Window& window : found->second.windows) {
    if (now - window.at <= options_.memory) {
      load = std::max(load.value_or(0.0), window.load);
    }
  }
  if (!load.has_value()) {
    return std::nullopt;
  }
  const auto& late_at = found->second.late_at;
  const auto late = static_cast<double>(std::count_if(
      late_at.begin(), late_at.end(),
      [this, now](TimePoint at) { return now - at <= options_.late_memory; }));
  const double unused =
      1.0 - std::min(1.0, late / static_cast<double>(options_.late_windows));
  return 1.0 + options_.gain * (*load - options_.slack * unused - 1.0);
}

}  // namespace bilberryspool::urgency
