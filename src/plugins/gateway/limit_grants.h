// Gets grants for targets that declare a limit from the control nodes.

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

// Belongs to the gateway's loop.
class LimitGrants {
 public:
  // Asks the control node that grants for the service, or the next; nothing
  // where none answers. Suspends the fiber.
  using GrantCall = std::function<std::optional<boost::json::value>(
      const ServiceId& service,
      declared_limits::GrantRequest request)>;

  explicit LimitGrants(traffic::TargetPool& targets) : targets_(targets) {}

  void Connect(GrantCall ask) { call_granter_ = std::move(ask); }

  // Before a target of `service` is chosen: gets what a request needs there,
  // as far as there is any. Suspends the fiber where it asks.
  void AcquireGrant(const ServiceId& service, const std::set<TargetId>& tried);

 private:
  traffic::TargetPool& targets_;
  GrantCall call_granter_;
  declared_limits::GrantPlanner planner_{
      declared_limits::GrantPlannerOptions{}};
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_LIMIT_GRANTS_H_
