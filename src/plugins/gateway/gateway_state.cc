#include "plugins/gateway/gateway_state.h"

#include "libs/telemetry/open_spans.h"

namespace bilberryspool::gateway {

namespace {

// The retry budget holds for all gateways together. Until a control node has
// told how many there are, each takes the share of one in this many.
constexpr std::uint64_t kAssumedGateways = 24;
// A few may have been missed, or come later.
constexpr double kShareMargin = 1.25;
// Part of the ratio that is used, so that a window that begins in the middle
// of a burst of failures holds as well.
constexpr double kUsedRatio = 0.7;

// A connection is used once: a request that can't be repeated must not meet a
// kept connection that its target has just closed, and bytes that follow an
// answer must not be taken for the next one. A connection costs a target about
// a millisecond.
net::HttpClientOptions MakeClientOptions() {
  net::HttpClientOptions options;
  options.connect_timeout = Milliseconds(500);
  options.max_idle_per_endpoint = 0;
  return options;
}

traffic::TargetPoolOptions MakePoolOptions(
    const settings::CommonSettings& common) {
  traffic::TargetPoolOptions options;
  options.domain = common.failure_domain;
  return options;
}

}  // namespace

GatewayState::GatewayState(net::NetworkLoop& loop,
                           const settings::CommonSettings& common,
                           const settings::GatewaySettings& gateway,
                           traffic::WireDialect wire_dialect,
                           std::uint64_t seed)
    : dialect(std::move(wire_dialect)),
      retries(gateway.retries),
      targets(MakePoolOptions(common), seed),
      grants(targets),
      client(loop, MakeClientOptions()),
      ends(loop),
      quarantine(loop),
      random(seed + 1),
      log("gateway"),
      figures(metrics),
      tracing{telemetry::OpenSpanWriter(common.trace.file,
                                        "bilberryspool-gateway",
                                        common.node.value()),
              common.trace.sample_permille} {}

limits::RetryBudget& GatewayState::BudgetOf(const ServiceId& service) {
  limits::RetryBudgetOptions options;
  options.ratio = retries.ratio * kUsedRatio;
  const auto sharers =
      static_cast<double>(gateways > 0 ? gateways : kAssumedGateways);
  options.global_burst = retries.slack / (sharers * kShareMargin);
  options.global_reserve = options.global_burst / ToSeconds(retries.window);
  options.workspace_burst = options.global_burst;
  options.workspace_reserve = options.global_reserve;
  return budgets.try_emplace(service, options).first->second;
}

void GatewayState::NoteGateways(std::uint64_t count) {
  if (count <= gateways) {
    return;
  }
  gateways = count;
  targets.limits().SetGateways(count);
  // Shares get smaller; a new budget starts with the smaller one.
  budgets.clear();
}

}  // namespace bilberryspool::gateway
