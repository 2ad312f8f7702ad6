// Requests grants from the control nodes for targets that declare a limit.

#ifndef PLUGINS_GATEWAY_LIMIT_GRANTS_H_
#define PLUGINS_GATEWAY_LIMIT_GRANTS_H_

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include "libs/declared_limits/grant_planner.h"
#include "libs/declared_limits/limit_granter.h"
#include "libs/traffic/target_pool.h"

namespace bilberryspool::gateway {

// Used in the gateway's loop only.
class LimitGrants {
 public:
  // Sends the grant request to the control node that grants for the service, or
  // to the next one. Returns nothing if neither answers. Suspends the fiber.
  using GrantCall = std::function<std::optional<boost::json::value>(
      const ServiceId& service,
      declared_limits::GrantRequest request)>;

  explicit LimitGrants(traffic::TargetPool& targets) : targets_(targets) {}

  void Connect(GrantCall ask) { call_granter_ = std::move(ask); }

  // Ensures, as far as possible, that a grant for a target of `service` outside
  // `tried` is available. To be called before a target is chosen. Suspends the
  // fiber while a request for grants is in progress.
  void AcquireGrant(const ServiceId& service, const std::set<TargetId>& tried);

 private:
  traffic::TargetPool& targets_;
  GrantCall call_granter_;
  declared_limits::GrantPlanner planner_{
      declared_limits::GrantPlannerOptions{}};
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_LIMIT_GRANTS_H_
