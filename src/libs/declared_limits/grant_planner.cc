#include "libs/declared_limits/grant_planner.h"

namespace bilberryspool::declared_limits {

void GrantPlanner::OnRequest(const ServiceId& service, TimePoint now) {
  std::deque<TimePoint>& requests = services_[service].requests;
  requests.push_back(now);
  while (now - requests.front() > options_.rate_window ||
         requests.size() > options_.max_recorded) {
    requests.pop_front();
  }
}

std::optional<std::uint32_t> GrantPlanner::GrantsToRequest(
    const ServiceId& service,
    bool are_all_limited,
    TimePoint now) {
  Service& entry = services_[service];
  const bool was_just_denied = entry.denied_at != TimePoint{} &&
                               now - entry.denied_at < options_.denial_backoff;
  const bool was_just_requested =
      entry.requested_at != TimePoint{} &&
      now - entry.requested_at < options_.optional_request_interval;
  if (was_just_denied || (!are_all_limited && was_just_requested)) {
    return std::nullopt;
  }
  entry.requested_at = now;
  if (!are_all_limited) {
    return 1;
  }
  const double per_second = static_cast<double>(entry.requests.size()) /
                            ToSeconds(options_.rate_window);
  return 1 +
         static_cast<std::uint32_t>(per_second * ToSeconds(options_.lookahead));
}

void GrantPlanner::OnAnswer(const ServiceId& service,
                            bool is_denied,
                            TimePoint now) {
  services_[service].denied_at = is_denied ? now : TimePoint{};
}

}  // namespace bilberryspool::declared_limits
