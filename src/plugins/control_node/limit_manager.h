// Enforcement of the limits that targets declare, on a control node.

#ifndef PLUGINS_CONTROL_NODE_LIMIT_MANAGER_H_
#define PLUGINS_CONTROL_NODE_LIMIT_MANAGER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/declared_limits/limit_granter.h"
#include "libs/declared_limits/limit_registry.h"
#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/log_rate_limiter.h"

namespace bilberryspool::control_node {

// Each control node receives the declared limits from all gateways that poll
// it, and divides them independently of the others. Runs in the control loop.
class LimitManager {
 public:
  // `changed` is notified when gateways must be sent an update.
  explicit LimitManager(net::FiberSignal& changed);

  void Register(links::LinkServer& server);

  // Records the limits that `gateway` received from targets.
  void Note(const std::string& gateway,
            const std::vector<declared_limits::LimitStatement>& statements,
            TimePoint now);
  void SetGateways(std::vector<std::string> gateways, TimePoint now);
  // Must be called a few times a second.
  void Tick(TimePoint now);

  const declared_limits::LimitRegistry& registry() const { return registry_; }
  const declared_limits::LimitGranter& granter() const { return granter_; }
  // Changes at most a few times a second, with a delay after the registry.
  std::uint64_t published_revision() const { return published_revision_; }

 private:
  void Publish(TimePoint now);
  std::optional<boost::json::value> OnGrant(const boost::json::value& params);

  net::FiberSignal& changed_;
  telemetry::Logger log_;
  telemetry::LogRateLimiter log_budget_;
  declared_limits::LimitRegistry registry_;
  declared_limits::LimitGranter granter_;
  std::uint64_t published_revision_ = 0;
  TimePoint published_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_LIMIT_MANAGER_H_
