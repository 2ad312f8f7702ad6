// The latest routing decisions and request outcomes, for operators.

#ifndef PLUGINS_CONTROL_RECENT_REPORTS_H_
#define PLUGINS_CONTROL_RECENT_REPORTS_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "plugins/control/control_feed.h"

namespace bilberryspool::control {

// Bounded: the oldest reports are dropped first.
class RecentReports {
 public:
  static constexpr std::size_t kMaxReasonsPerService = 5;
  static constexpr std::size_t kMaxRequests = 2000;

  void Add(CallerReport report);

  // Newest first.
  std::vector<std::string> reasons(const ServiceId& service) const;
  std::optional<std::string> outcome(const RequestId& request) const;

 private:
  std::map<ServiceId, std::deque<std::string>> reasons_;
  std::unordered_map<RequestId, std::string> outcomes_;
  std::deque<RequestId> insertion_order_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_RECENT_REPORTS_H_
