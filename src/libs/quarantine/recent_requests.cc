#include "libs/quarantine/recent_requests.h"

namespace bilberryspool::quarantine {

void RecentRequests::Note(const RequestFingerprint& request, TimePoint now) {
  const auto found = by_request_.find(request);
  if (found != by_request_.end()) {
    found->second->second = now;
    newest_first_.splice(newest_first_.begin(), newest_first_, found->second);
    return;
  }
  if (newest_first_.size() >= capacity_) {
    by_request_.erase(newest_first_.back().first);
    newest_first_.pop_back();
  }
  newest_first_.emplace_front(request, now);
  by_request_.emplace(request, newest_first_.begin());
}

std::optional<TimePoint> RecentRequests::Find(
    const RequestFingerprint& request) const {
  const auto found = by_request_.find(request);
  return found == by_request_.end()
             ? std::nullopt
             : std::optional<TimePoint>(found->second->second);
}

}  // namespace bilberryspool::quarantine
