#include "plugins/control/recent_reports.h"

namespace bilberryspool::control {

void RecentReports::Add(CallerReport report) {
  if (report.request.value().empty()) {
    std::deque<std::string>& reasons = reasons_[report.service];
    reasons.push_front(std::move(report.text));
    if (reasons.size() > kMaxReasonsPerService) {
      reasons.pop_back();
    }
    return;
  }
  const auto [row, is_new] =
      outcomes_.insert_or_assign(report.request, std::move(report.text));
  if (!is_new) {
    return;
  }
  insertion_order_.push_back(row->first);
  if (insertion_order_.size() > kMaxRequests) {
    outcomes_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

std::vector<std::string> RecentReports::reasons(
    const ServiceId& service) const {
  const auto found = reasons_.find(service);
  if (found == reasons_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

std::optional<std::string> RecentReports::outcome(
    const RequestId& request) const {
  const auto found = outcomes_.find(request);
  if (found == outcomes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace bilberryspool::control
