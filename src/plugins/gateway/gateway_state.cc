#include "plugins/gateway/gateway_state.h"

#include <algorithm>

#include "libs/telemetry/open_spans.h"

namespace bilberryspool::gateway {

namespace {

// Only this part of the slack is divided. The rest is for gateways that are not
// counted, and for processes that start: in its first window each uses
// kFirstWindowPart of its share, whatever the one before has used, which leaves
// room for four starts of all gateways in one window.
constexpr double kUsedSlack = 0.6;
constexpr double kFirstWindowPart = 1.0 / 6.0;
// Only this part of the configured ratio is used: of two bursts of requests
// that are a window apart, the rule may count one only.
constexpr double kUsedRatio = 0.9;

// Connections are not reused: a request that must not be repeated must not be
// sent on an idle connection that its target has just closed, and bytes that
// follow an answer must not be read as the next answer. A new connection costs
// a target about 1 ms.
net::HttpClientOptions MakeClientOptions() {
  net::HttpClientOptions options;
  options.connect_timeout = Milliseconds(500);
  options.max_idle_per_endpoint = 0;
  return options;
}

traffic::TargetPoolOptions MakePoolOptions(
    const settings::CommonSettings& common,
    const settings::GatewaySettings& gateway,
    TimePoint now) {
  traffic::TargetPoolOptions options;
  options.domain = common.failure_domain;
  options.started_at = now;
  options.cold_starts.overage = gateway.cold_targets.overage;
  options.cold_starts.slack = gateway.cold_targets.slack;
  return options;
}

}  // namespace

GatewayState::GatewayState(net::NetworkLoop& loop,
                           const settings::CommonSettings& common,
                           const settings::GatewaySettings& gateway,
                           traffic::HeaderNames names,
                           std::uint64_t seed,
                           TimePoint now)
    : started_at(now),
      header_names(std::move(names)),
      retries(gateway.retries),
      targets(MakePoolOptions(common, gateway, now), seed),
      grants(targets),
      client(loop, MakeClientOptions()),
      termination_detector(loop),
      quarantine(loop),
      random(seed + 1),
      log("gateway"),
      stats(metrics),
      prober(loop, metrics),
      tracing{telemetry::OpenSpanWriter(common.trace.file,
                                        "bilberryspool-gateway",
                                        common.node.value()),
              common.trace.sample_permille} {}

limits::SharedRetryBudget GatewayState::MakeBudget() const {
  limits::SharedRetryBudgetOptions options;
  options.ratio = retries.ratio * kUsedRatio;
  options.window = retries.window;
  options.first_window_part = kFirstWindowPart;
  return {options, started_at};
}

limits::SharedRetryBudget& GatewayState::BudgetOf(const ServiceId& service) {
  return budgets.try_emplace(service, MakeBudget()).first->second;
}

double GatewayState::UsableRetrySlack(TimePoint now) const {
  return MakeBudget().UsableSlack(retry_slack_share(), now);
}

double GatewayState::retry_slack_share() const {
  if (retry_sharers == 0) {
    return 0.0;
  }
  return retries.slack * kUsedSlack / static_cast<double>(retry_sharers);
}

bool GatewayState::MayRetry(const ServiceId& service, TimePoint now) {
  return BudgetOf(service).MayRetry(retry_slack_share(), now);
}

bool GatewayState::TryRetry(const ServiceId& service, TimePoint now) {
  const bool is_allowed = BudgetOf(service).TryRetry(retry_slack_share(), now);
  metrics
      .CounterFor({"bilberryspool_retries_total",
                   "Retries that were due, by whether the budget allowed them"},
                  {{"service", service.value()},
                   {"allowed", is_allowed ? "yes" : "no"}})
      .Add();
  return is_allowed;
}

void GatewayState::SetGatewayCount(std::uint64_t count) {
  if (count <= gateway_count) {
    return;
  }
  gateway_count = count;
  targets.limits().SetGateways(count);
}

void GatewayState::SetRetrySharers(std::uint64_t count) {
  retry_sharers = std::max(retry_sharers, count);
}

}  // namespace bilberryspool::gateway
