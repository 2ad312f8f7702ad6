// When a gateway asks for grants, and for how many.
//
// A caller waits for the answer, a few milliseconds. With many callers a second
// one question brings what the next quarter of a second needs; where other
// targets have no limit, those that have one are asked for now and then.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_DECLARED_LIMITS_GRANT_PLANNER_H_
#define LIBS_DECLARED_LIMITS_GRANT_PLANNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::declared_limits {

struct GrantPlannerOptions {
  // What one question brings lasts so long.
  Duration lookahead = Milliseconds(250);
  // Between questions where there are targets without a limit.
  Duration optional_request_interval = Milliseconds(100);
  // After an answer that there is nothing now. Bounds the questions of an
  // overloaded gateway.
  Duration denial_backoff = Milliseconds(20);
  Duration rate_window = Seconds(1);
  std::size_t max_recorded = 1000;
};

class GrantPlanner {
 public:
  explicit GrantPlanner(GrantPlannerOptions options) : options_(options) {}

  // A request of the service has come, and needs a grant or may use one.
  void OnRequest(const ServiceId& service, TimePoint now);
  // For how many requests to ask now; nothing where it would be of no use.
  // `are_all_limited`: no target of the service is without a limit.
  std::optional<std::uint32_t> GrantsToRequest(const ServiceId& service,
                                               bool are_all_limited,
                                               TimePoint now);
  void OnAnswer(const ServiceId& service, bool is_denied, TimePoint now);

 private:
  struct Service {
    std::deque<TimePoint> requests;
    TimePoint requested_at;
    TimePoint denied_at;
  };

  GrantPlannerOptions options_;
  std::map<ServiceId, Service> services_;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_GRANT_PLANNER_H_
