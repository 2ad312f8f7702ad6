// Decides when a gateway requests grants, and how many.
//
// A caller waits a few milliseconds for the answer. If many callers arrive per
// second, one grant request covers the needs of the next `lookahead`. If other
// targets have no limit, grants for limited targets are requested only at
// intervals.
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
  // Time for which one grant request should suffice.
  Duration lookahead = Milliseconds(250);
  // Minimum interval of grant requests while there are targets without a limit.
  Duration optional_request_interval = Milliseconds(100);
  // No grants are requested for this long after a denial. Bounds the grant
  // requests of an overloaded gateway.
  Duration denial_backoff = Milliseconds(20);
  // Window over which the request rate is measured.
  Duration rate_window = Seconds(1);
  // Maximum number of requests recorded per service.
  std::size_t max_recorded = 1000;
};

class GrantPlanner {
 public:
  explicit GrantPlanner(GrantPlannerOptions options) : options_(options) {}

  // A request of the service has arrived that needs a grant or may use one.
  void OnRequest(const ServiceId& service, TimePoint now);
  // The number of grants to request now; nothing if a grant request would be of
  // no use. `are_all_limited`: every target of the service has a limit.
  std::optional<std::uint32_t> GrantsToRequest(const ServiceId& service,
                                               bool are_all_limited,
                                               TimePoint now);
  // A control node has answered; `is_denied` if it granted nothing.
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
