// What the requests of one gateway share.

#ifndef PLUGINS_GATEWAY_GATEWAY_STATE_H_
#define PLUGINS_GATEWAY_GATEWAY_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "libs/base/random.h"
#include "libs/limits/retry_budget.h"
#include "libs/net/fiber_signal.h"
#include "libs/net/http_client.h"
#include "libs/settings/settings.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/metrics.h"
#include "libs/traffic/route_table.h"
#include "libs/traffic/target_pool.h"
#include "libs/traffic/wire_dialect.h"
#include "plugins/gateway/limit_grants.h"
#include "plugins/gateway/quarantine_guard.h"
#include "plugins/gateway/request_stats.h"
#include "plugins/gateway/request_trace.h"
#include "plugins/gateway/termination_detector.h"

namespace bilberryspool::gateway {

class RelayCall;

// Belongs to the gateway's loop.
struct GatewayState {
  GatewayState(net::NetworkLoop& loop,
               const settings::CommonSettings& common,
               const settings::GatewaySettings& gateway,
               traffic::WireDialect names,
               std::uint64_t seed);

  limits::RetryBudget& BudgetOf(const ServiceId& service);
  // How many gateways a control node has heard of.
  void SetGatewayCount(std::uint64_t count);

  traffic::WireDialect header_names;
  settings::RetryLimits retries;
  // Null until a configuration is known.
  std::shared_ptr<const traffic::RouteTable> routes;
  traffic::TargetPool targets;
  LimitGrants grants;
  net::HttpClient client;
  TerminationDetector termination_detector;
  QuarantineGuard quarantine;
  Random random;
  // Wakes those who wait for something that control nodes tell.
  net::FiberSignal update_signal;
  // Requests whose target has not answered yet, or is in the middle of it.
  std::set<RelayCall*> active_calls;
  telemetry::Logger log;
  telemetry::Registry metrics;
  RequestStats stats;
  Tracing tracing;
  std::uint64_t requests_in_progress = 0;
  // The most that were heard of: a control node that is cut off hears fewer,
  // and shares that are too large would break the bound for all.
  std::uint64_t gateway_count = 0;
  std::map<ServiceId, limits::RetryBudget> budgets;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_GATEWAY_STATE_H_
