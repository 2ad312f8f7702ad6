#include "plugins/control_node/control_node_process.h"

#include <cstdlib>
#include <iostream>
#include <memory>

#include "libs/net/connection_registry.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/telemetry/metrics.h"
#include "plugins/control_node/control_node.h"
#include "plugins/control_node/evacuation_service.h"
#include "plugins/control_node/group_manager.h"
#include "plugins/control_node/quarantine_service.h"
#include "plugins/control_node/watch_service.h"

namespace bilberryspool::control_node {

namespace {

// Leaves room for a configuration in a message of the replicated log, where
// JSON escaping may double its size.
constexpr std::size_t kMaxPeerBodyBytes = 16UL * 1024 * 1024;
// Requests for metrics have no body.
constexpr std::size_t kMaxMetricsRequestBytes = 4UL * 1024;
constexpr std::size_t kMaxOperatorBodyBytes = 8UL * 1024 * 1024;

net::Endpoint ToEndpoint(const settings::SocketAddress& address) {
  return {address.ip, address.port};
}

class Process {
 public:
  Process(const settings::CommonSettings& common,
          const settings::ControlSettings& settings,
          const ControlInterface& interface,
          std::shared_ptr<const net::LinkAuthenticator> authenticator)
      : settings_(settings),
        log_("control"),
        node_(loop_,
              common,
              settings,
              authenticator,
              interface.read_configuration),
        watch_(loop_, node_),
        quarantine_service_(node_),
        evacuation_service_(node_),
        links_(loop_, authenticator),
        groups_(loop_,
                links_,
                node_,
                common.failure_domain,
                settings.peers_listen.port,
                interface.engines,
                interface.read_configuration),
        peers_(
            loop_,
            OptionsFor(settings.peers_listen, kMaxPeerBodyBytes, registry_),
            authenticator,
            [this](net::HttpExchange& exchange) { groups_.Serve(exchange); },
            [this](const std::string& peer, net::LinkRefusal refusal) {
              log_.Warn("Refused a peer.",
                        {{"peer", peer}, {"reason", net::Describe(refusal)}});
            }),
        operators_(loop_,
                   OptionsFor(settings.operators_listen,
                              kMaxOperatorBodyBytes,
                              registry_),
                   interface.make_handler(node_)),
        metrics_server_(
            loop_,
            OptionsFor(settings.metrics_listen,
                       kMaxMetricsRequestBytes,
                       registry_),
            [this](net::HttpExchange& exchange) { Serve(exchange); }) {}

  void Run() {
    loop_.Run([this] {
      const std::string error = Start();
      if (!error.empty()) {
        std::cerr << "control: " << error << "\n";
        std::_Exit(1);
      }
      loop_.OnStopSignal([this] { loop_.Stop(); });
      loop_.OnReloadSignal([this] {
        log_.Info("Changed settings take effect at the next start.");
      });
      loop_.WaitForStop();
      log_.Info("Stopping.");
      operators_.Drain();
      node_.Stop();
      std::_Exit(0);
    });
  }

 private:
  static net::HttpServerOptions OptionsFor(
      const settings::SocketAddress& address,
      std::size_t max_body_bytes,
      std::shared_ptr<net::ConnectionRegistry> registry) {
    net::HttpServerOptions options;
    options.registry = std::move(registry);
    options.listen = ToEndpoint(address);
    options.max_body_bytes = max_body_bytes;
    return options;
  }

  std::string Start() {
    node_.Register(peers_);
    watch_.Register(peers_);
    std::string error = node_.Start();
    if (error.empty()) {
      error = peers_.Start();
    }
    if (error.empty()) {
      error = operators_.Start();
    }
    if (error.empty()) {
      error = metrics_server_.Start();
    }
    if (error.empty()) {
      groups_.Start();
      log_.Info("Started.",
                {{"operators", settings_.operators_listen.ToString()},
                 {"peers", settings_.peers_listen.ToString()},
                 {"first_start", settings_.is_first_start ? "yes" : "no"}});
    }
    return error;
  }

  // Serves metrics, and operators' requests on quarantine and evacuations.
  void Serve(net::HttpExchange& exchange) {
    if (!quarantine_service_.Serve(exchange) &&
        !evacuation_service_.Serve(exchange)) {
      ServeMetrics(exchange);
    }
  }

  void ServeMetrics(net::HttpExchange& exchange) {
    metrics_
        .GaugeFor({"bilberryspool_configuration_version",
                   "Number of the configuration in force"})
        .Set(static_cast<double>(node_.configuration().version()));
    metrics_.GaugeFor({"bilberryspool_targets_known", "Targets on record"})
        .Set(static_cast<double>(node_.targets().records().size()));
    metrics_.GaugeFor({"bilberryspool_leader", "1 where this replica leads"})
        .Set(node_.replica().is_leader() ? 1.0 : 0.0);
    metrics_
        .GaugeFor({"bilberryspool_unresponsive_voters",
                   "Copies of the log that do not respond to this leader"})
        .Set(static_cast<double>(
            node_.replica().unresponsive_voters().value_or(0)));
    metrics_
        .GaugeFor({"bilberryspool_nodes_asking_admission",
                   "Nodes without a copy of the log that ask for one"})
        .Set(static_cast<double>(node_.replica().asking_nodes()));
    metrics_
        .GaugeFor({"bilberryspool_departures_on_record",
                   "Targets that leave or have left, as the log says"})
        .Set(static_cast<double>(node_.departures().size()));
    quarantine_service_.SetMetrics(metrics_);
    evacuation_service_.SetMetrics(metrics_);
    metrics_
        .GaugeFor({"bilberryspool_declared_limits",
                   "Targets that declare a limit for all callers"})
        .Set(static_cast<double>(node_.limits().registry().size()));
    metrics_
        .GaugeFor({"bilberryspool_limit_grants",
                   "Requests that this node has granted of declared limits"})
        .Set(static_cast<double>(node_.limits().granter().granted()));
    metrics_
        .GaugeFor({"bilberryspool_limit_denials",
                   "Questions for grants that this node had nothing for"})
        .Set(static_cast<double>(node_.limits().granter().denied()));
    for (const auto& [group, stats] : groups_.stats(net::SteadyNow())) {
      SetGroupMetrics(group, stats);
    }
    net::HttpResponseHead head;
    head.headers.Add("Content-Type", "text/plain; version=0.0.4");
    exchange.Respond(std::move(head), metrics_.ToPrometheusText());
  }

  void SetGroupMetrics(const GroupId& group, const GroupStats& stats) {
    const telemetry::Labels labels = {{"group", group.value()}};
    metrics_
        .GaugeFor({"bilberryspool_group_ranks_heard", "Ranks ever heard"},
                  labels)
        .Set(static_cast<double>(stats.known_ranks));
    metrics_
        .GaugeFor(
            {"bilberryspool_group_ranks_missing", "Ranks asked in vain lately"},
            labels)
        .Set(static_cast<double>(stats.missing));
    metrics_
        .GaugeFor({"bilberryspool_group_oldest_sum_seconds",
                   "Age of the oldest sum of counts among the readers'"},
                  labels)
        .Set(ToSeconds(stats.oldest_sum_age));
    metrics_
        .GaugeFor({"bilberryspool_group_last_plan_seconds",
                   "What the last plan of a map took"},
                  labels)
        .Set(ToSeconds(stats.last_plan_duration));
    metrics_
        .GaugeFor({"bilberryspool_group_last_tick_seconds",
                   "Since the group was last looked after"},
                  labels)
        .Set(ToSeconds(stats.time_since_tick));
  }

  const settings::ControlSettings& settings_;
  telemetry::Logger log_;
  telemetry::Registry metrics_;
  net::NetworkLoop loop_;
  ControlNode node_;
  WatchService watch_;
  QuarantineService quarantine_service_;
  EvacuationService evacuation_service_;
  links::LinkClient links_;
  GroupManager groups_;
  std::shared_ptr<net::ConnectionRegistry> registry_ =
      std::make_shared<net::ConnectionRegistry>(
          net::BudgetForMemory(settings_.memory_mb));
  links::LinkServer peers_;
  net::HttpServer operators_;
  net::HttpServer metrics_server_;
};

}  // namespace

int RunControlNode(const settings::CommonSettings& common,
                   const settings::ControlSettings& settings,
                   const ControlInterface& interface) {
  const auto loaded =
      net::LoadAuthenticator(common.deployment, common.node, common.key_file);
  if (const auto* error = std::get_if<std::string>(&loaded)) {
    std::cerr << "control: " << *error << "\n";
    return 1;
  }
  const auto& authenticator =
      std::get<std::shared_ptr<const net::LinkAuthenticator>>(loaded);
  Process process(common, settings, interface, authenticator);
  process.Run();
  return 0;
}

}  // namespace bilberryspool::control_node
