// State that all requests of a gateway share.

#ifndef PLUGINS_GATEWAY_GATEWAY_STATE_H_
#define PLUGINS_GATEWAY_GATEWAY_STATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libs/base/random.h"
#include "libs/limits/shared_retry_budget.h"
#include "libs/net/fiber_signal.h"
#include "libs/net/http_client.h"
#include "libs/settings/settings.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/metrics.h"
#include "libs/traffic/header_names.h"
#include "libs/traffic/route_table.h"
#include "libs/traffic/target_pool.h"
#include "libs/urgency/stream_pauses.h"
#include "libs/urgency/urgency_gate.h"
#include "plugins/gateway/limit_grants.h"
#include "plugins/gateway/quarantine_guard.h"
#include "plugins/gateway/request_stats.h"
#include "plugins/gateway/request_trace.h"
#include "plugins/gateway/target_prober.h"
#include "plugins/gateway/termination_detector.h"

namespace bilberryspool::gateway {

class RelayCall;

// Used in the gateway's loop only.
struct GatewayState {
  GatewayState(net::NetworkLoop& loop,
               const settings::CommonSettings& common,
               const settings::GatewaySettings& gateway,
               traffic::HeaderNames names,
               std::uint64_t seed,
               TimePoint now);

  // This gateway's part of the retry budget of the service.
  limits::SharedRetryBudget& BudgetOf(const ServiceId& service);
  // Returns whether one retry may be sent to the service now.
  bool MayRetry(const ServiceId& service, TimePoint now);
  // The same, and counts it.
  bool TryRetry(const ServiceId& service, TimePoint now);
  limits::SharedRetryBudget MakeBudget() const;
  // Records the number of gateways that a control node reports. Only an
  // increase has an effect.
  void SetGatewayCount(std::uint64_t count);
  // The same for the number of gateways that share the retry budgets; 0 if the
  // node can't know it.
  void SetRetrySharers(std::uint64_t count);
  // The part of the slack of each retry budget that this gateway may use, in
  // retries per window.
  double retry_slack_share() const;
  // The same for now: a process that has just started may use less.
  double UsableRetrySlack(TimePoint now) const;

  TimePoint started_at;
  traffic::HeaderNames header_names;
  settings::RetryLimits retries;
  // Null until a configuration is known.
  std::shared_ptr<const traffic::RouteTable> routes;
  // Called for each configuration that comes into force.
  std::function<void(const traffic::TrafficConfiguration&)> on_configuration;
  traffic::TargetPool targets;
  LimitGrants grants;
  urgency::StreamPauses stream_pauses{urgency::StreamPausesOptions{}};
  urgency::UrgencyGate urgency{urgency::UrgencyGateOptions{}};
  net::HttpClient client;
  TerminationDetector termination_detector;
  QuarantineGuard quarantine;
  Random random;
  // Notified after each answer of a control node.
  net::FiberSignal update_signal;
  // Calls with a send in progress: the target has not answered yet, or not
  // completely.
  std::set<RelayCall*> active_calls;
  telemetry::Logger log;
  telemetry::Registry metrics;
  RequestStats stats;
  TargetProber prober;
  Tracing tracing;
  std::uint64_t requests_in_progress = 0;
  // When the requests in progress end; set late in a planned stop. Those that
  // arrive from then on and may last longer are refused.
  std::optional<TimePoint> ends_at;
  // The requests in progress get their final answers, and are not sent again.
  bool is_ending = false;
  // Bytes of answers, and of events, that are kept until they are complete.
  std::size_t buffered_bytes = 0;
  // The largest number of gateways reported so far.
  std::uint64_t gateway_count = 0;
  // The largest number reported so far: after a long cut a leader knows fewer
  // gateways, and larger shares would exceed the budget of all together. 0
  // until one is reported.
  std::uint64_t retry_sharers = 0;
  std::map<ServiceId, limits::SharedRetryBudget> budgets;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_GATEWAY_STATE_H_
