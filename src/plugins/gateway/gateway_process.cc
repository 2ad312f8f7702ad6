#include "plugins/gateway/gateway_process.h"

#include <sys/stat.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <tuple>
#include <vector>

#include "libs/declared_limits/limit_codec.h"
#include "libs/net/connection_registry.h"
#include "libs/net/http_server.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/settings/load.h"
#include "plugins/gateway/control_follower.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

namespace {

// The platform's load balancer sends callers elsewhere after two failed health
// checks that are one second apart. New connections are accepted until then.
constexpr Duration kBalancerDelay = Milliseconds(2500);
// Time between the end of the drain and the moment at which the platform ends
// the process.
constexpr Duration kExitMargin = Milliseconds(400);
// Part of it in which the requests still in progress get their answers.
constexpr Duration kFinalAnswerTime = Milliseconds(200);
constexpr Duration kDrainPollInterval = Milliseconds(50);
constexpr Duration kSettingsPollInterval = Seconds(1);
constexpr std::size_t kMaxHeaderBytes = 64UL * 1024;
constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;
constexpr Duration kHeaderTimeout = Seconds(20);
constexpr Duration kIdleTimeout = Seconds(60);

net::Endpoint ToEndpoint(const settings::SocketAddress& address) {
  return {address.ip, address.port};
}

class Process {
 public:
  Process(const settings::CommonSettings& common,
          const settings::GatewaySettings& settings,
          std::string settings_path,
          const GatewayInterface& interface,
          std::shared_ptr<const net::LinkAuthenticator> authenticator)
      : settings_(settings),
        settings_path_(std::move(settings_path)),
        log_("gateway"),
        state_(loop_,
               common,
               settings,
               interface.header_names,
               std::random_device()(),
               SteadyNow()),
        authenticator_(std::move(authenticator)),
        follower_(loop_,
                  authenticator_,
                  state_,
                  common.node.value(),
                  interface.read_configuration),
        callers_(loop_,
                 CallerOptions(settings, registry_),
                 [this](net::HttpExchange& exchange) { Serve(exchange); }),
        readiness_(
            loop_,
            OptionsFor(settings.readiness_listen, registry_),
            [this](net::HttpExchange& exchange) { ServeReadiness(exchange); }),
        metrics_(
            loop_,
            OptionsFor(settings.metrics_listen, registry_),
            [this](net::HttpExchange& exchange) { ServeMetrics(exchange); }) {}

  void Run() {
    loop_.Run([this] {
      const std::string error = Start();
      if (!error.empty()) {
        std::cerr << "gateway: " << error << "\n";
        std::_Exit(1);
      }
      loop_.OnStopSignal([this] { loop_.Stop(); });
      loop_.OnReloadSignal([this] { loop_.Spawn([this] { Reload(); }); });
      loop_.Spawn([this] { WatchSettings(); });
      loop_.Spawn([this] { RotateMetricWindows(); });
      loop_.Spawn([this] { WatchTargets(); });
      loop_.WaitForStop();
      Drain();
      std::_Exit(0);
    });
  }

 private:
  static net::HttpServerOptions OptionsFor(
      const settings::SocketAddress& address,
      std::shared_ptr<net::ConnectionRegistry> registry) {
    net::HttpServerOptions options;
    options.listen = ToEndpoint(address);
    options.registry = std::move(registry);
    return options;
  }

  static net::ConnectionBudgetOptions BudgetOptions(
      const settings::GatewaySettings& settings) {
    net::ConnectionBudgetOptions options =
        net::BudgetForMemory(settings.memory_mb);
    options.max_connections = settings.max_open_connections;
    return options;
  }

  static net::HttpServerOptions CallerOptions(
      const settings::GatewaySettings& settings,
      std::shared_ptr<net::ConnectionRegistry> registry) {
    net::HttpServerOptions options =
        OptionsFor(settings.callers_listen, std::move(registry));
    options.max_header_bytes = kMaxHeaderBytes;
    options.max_body_bytes = kMaxBodyBytes;
    options.header_timeout = kHeaderTimeout;
    options.idle_timeout = kIdleTimeout;
    return options;
  }

  std::string Start() {
    file_stamp_ = FileStamp();
    ConnectQuarantine();
    ConnectLimits();
    state_.on_configuration =
        [this](const traffic::TrafficConfiguration& configuration) {
          ApplyBounds(configuration.bounds);
        };
    if (settings_.sidecars_port.has_value()) {
      state_.prober.Connect(
          authenticator_, static_cast<std::uint16_t>(*settings_.sidecars_port));
    }
    FollowSeeds(settings_.seeds);
    for (net::HttpServer* server : {&callers_, &readiness_, &metrics_}) {
      std::string error = server->Start();
      if (!error.empty()) {
        return error;
      }
    }
    log_.Info("Started.", {{"callers", settings_.callers_listen.ToString()},
                           {"seeds", settings_.seeds.size()}});
    return "";
  }

  // A bound that the configuration doesn't give is that of the gateway.
  void ApplyBounds(const traffic::CallerBounds& bounds) {
    callers_.SetRequestLimits(
        bounds.max_header_bytes > 0 ? bounds.max_header_bytes : kMaxHeaderBytes,
        bounds.max_body_bytes > 0 ? bounds.max_body_bytes : kMaxBodyBytes,
        bounds.header_timeout > Duration::zero() ? bounds.header_timeout
                                                 : kHeaderTimeout);
    callers_.SetIdleTimeout(bounds.idle_timeout > Duration::zero()
                                ? bounds.idle_timeout
                                : kIdleTimeout);
  }

  void ConnectQuarantine() {
    QuarantineGuard::Links links;
    links.call_all = [this](const std::string& method,
                            const boost::json::value& params) {
      follower_.CallAll(method, params);
    };
    links.call_one = [this](const std::string& key, const std::string& method,
                            const boost::json::value& params) {
      return follower_.CallOne(key, method,
                               [&params](std::size_t) { return params; });
    };
    state_.quarantine.Connect(std::move(links));
  }

  void ConnectLimits() {
    state_.grants.Connect([this](const ServiceId& service,
                                 declared_limits::GrantRequest request) {
      return follower_.CallOne("limits/" + service.value(), "limits.grant",
                               [&request](std::size_t rank) {
                                 request.is_first_choice = rank == 0;
                                 return declared_limits::ToJson(request);
                               });
    });
  }

  void FollowSeeds(const std::vector<settings::SocketAddress>& seeds) {
    std::vector<net::Endpoint> nodes;
    nodes.reserve(seeds.size());
    for (const settings::SocketAddress& seed : seeds) {
      nodes.push_back(
          {seed.ip, static_cast<std::uint16_t>(settings_.control_peers_port)});
    }
    follower_.Follow(nodes);
  }

  void Serve(net::HttpExchange& exchange) {
    RelayCall call(state_, exchange);
    call.Run();
  }

  bool is_ready() const {
    return !is_draining_ && follower_.is_current(SteadyNow());
  }

  void ServeReadiness(net::HttpExchange& exchange) {
    const bool ready = is_ready();
    if (ready != was_ready_) {
      was_ready_ = ready;
      log_.Info(ready ? "Ready." : "Not ready.",
                {{"control_nodes", follower_.reachable_nodes()},
                 {"draining", is_draining_ ? "yes" : "no"}});
    }
    net::HttpResponseHead head;
    head.status = ready ? net::status::kOk : net::status::kUnavailable;
    exchange.Respond(std::move(head), ready ? "ready\n" : "not ready\n");
  }

  void ServeMetrics(net::HttpExchange& exchange) {
    state_.metrics
        .GaugeFor(
            {"bilberryspool_requests_in_progress", "Requests being served"})
        .Set(static_cast<double>(state_.requests_in_progress));
    state_.metrics
        .GaugeFor({"bilberryspool_control_nodes_reachable",
                   "Control nodes that answer"})
        .Set(static_cast<double>(follower_.reachable_nodes()));
    state_.metrics
        .GaugeFor({"bilberryspool_limited_targets",
                   "Targets that declare a limit for all callers"})
        .Set(static_cast<double>(state_.targets.limits().size()));
    state_.metrics
        .GaugeFor({"bilberryspool_limit_share",
                   "Requests a second that this gateway may send to them"})
        .Set(state_.targets.limits().total_share());
    state_.metrics
        .GaugeFor({"bilberryspool_retry_slack_share",
                   "Retries per window and service beside those for requests"})
        .Set(state_.UsableRetrySlack(SteadyNow()));
    state_.metrics
        .GaugeFor({"bilberryspool_paused_targets",
                   "Targets that have asked this gateway for a pause"})
        .Set(static_cast<double>(state_.targets.CountPaused(SteadyNow())));
    state_.metrics
        .GaugeFor({"bilberryspool_cold_targets",
                   "Ready targets that announce that they are cold"})
        .Set(static_cast<double>(state_.targets.CountCold()));
    state_.metrics
        .GaugeFor({"bilberryspool_roster_gateways",
                   "Gateways that share what cold targets tolerate"})
        .Set(static_cast<double>(state_.targets.cold_starts()
                                     .seat()
                                     .value_or(cold_targets::GatewaySeat{})
                                     .count));
    state_.metrics
        .GaugeFor({"bilberryspool_evacuated_failure_domains",
                   "Failure domains whose targets get no requests"})
        .Set(static_cast<double>(state_.targets.evacuations().domains.size()));
    state_.metrics.GaugeFor({"bilberryspool_connections", "Open connections"})
        .Set(static_cast<double>(registry_->budget().size()));
    state_.metrics
        .GaugeFor({"bilberryspool_connections_held_bytes",
                   "What the connections hold together"})
        .Set(static_cast<double>(registry_->budget().held_bytes()));
    state_.metrics
        .GaugeFor({"bilberryspool_connections_evicted",
                   "Connections closed for want of room since the start"})
        .Set(static_cast<double>(registry_->evicted()));
    state_.metrics
        .GaugeFor({"bilberryspool_requests_not_read",
                   "Requests refused before they were whole since the start"})
        .Set(static_cast<double>(callers_.counts().bad_requests));
    net::HttpResponseHead head;
    head.headers.Add("Content-Type", "text/plain; version=0.0.4");
    exchange.Respond(std::move(head), state_.metrics.ToPrometheusText());
  }

  // Keeps the quantiles on the metrics address to recent requests, and advances
  // the declared limits.
  void RotateMetricWindows() {
    constexpr Duration kWindow = Seconds(10);
    while (true) {
      loop_.SleepFor(kWindow);
      state_.metrics.StartWindows();
      state_.targets.limits().Tick(SteadyNow());
      LogEvictions();
    }
  }

  void LogEvictions() {
    const std::uint64_t evicted = registry_->evicted();
    if (evicted == logged_evictions_) {
      return;
    }
    log_.Warn("Closed connections that had no room.",
              {{"closed", evicted - logged_evictions_},
               {"open", registry_->budget().size()},
               {"held_bytes", registry_->budget().held_bytes()}});
    logged_evictions_ = evicted;
  }

  // Lets calls move to another target when theirs has become silent or slow,
  // probes the VMs of silent targets, and advances the quarantine and the
  // estimates of loads.
  void WatchTargets() {
    constexpr Duration kPollInterval = Milliseconds(100);
    while (true) {
      loop_.SleepFor(kPollInterval);
      const TimePoint now = SteadyNow();
      state_.prober.Tick(now);
      state_.quarantine.Tick(now);
      state_.stream_pauses.Tick(now);
      state_.targets.cold_starts().Tick(now);
      const std::vector<RelayCall*> active_calls(state_.active_calls.begin(),
                                                 state_.active_calls.end());
      for (RelayCall* call : active_calls) {
        call->ReviewTarget(now);
      }
    }
  }

  using Stamp = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

  // Modification time and size of the settings file; changes when the file is
  // rewritten or replaced.
  Stamp FileStamp() const {
    struct stat status {};
    if (stat(settings_path_.c_str(), &status) != 0) {
      return {};
    }
    return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
  }

  // Reloads the settings when the file has changed without a reload signal.
  void WatchSettings() {
    while (true) {
      loop_.SleepFor(kSettingsPollInterval);
      const Stamp stamp = FileStamp();
      if (stamp != file_stamp_ && stamp != Stamp{}) {
        file_stamp_ = stamp;
        Reload();
      }
    }
  }

  // Applies the control nodes of the settings file. All other settings take
  // effect at the next start. An invalid file changes nothing.
  void Reload() {
    const auto loaded = settings::Load(settings_path_);
    const auto* settings = std::get_if<settings::Settings>(&loaded);
    const auto* gateway =
        settings == nullptr
            ? nullptr
            : std::get_if<settings::GatewaySettings>(&settings->role);
    if (gateway == nullptr) {
      log_.Warn("The changed settings are invalid; keeping the present ones.");
      return;
    }
    log_.Info("Reloaded the settings.", {{"seeds", gateway->seeds.size()}});
    FollowSeeds(gateway->seeds);
  }

  void SleepUntil(TimePoint time) {
    while (SteadyNow() < time) {
      loop_.SleepFor(kDrainPollInterval);
    }
  }

  void AwaitRequests(TimePoint limit) {
    while (callers_.counts().requests_in_progress > 0 && SteadyNow() < limit) {
      loop_.SleepFor(kDrainPollInterval);
    }
  }

  // Lets the requests in progress answer their callers.
  void EndRequests() {
    state_.is_ending = true;
    state_.update_signal.NotifyAll();
    const std::vector<RelayCall*> active_calls(state_.active_calls.begin(),
                                               state_.active_calls.end());
    for (RelayCall* call : active_calls) {
      call->EndForStop();
    }
  }

  void Drain() {
    const TimePoint started_at = SteadyNow();
    const TimePoint limit = started_at + settings_.drain_grace - kExitMargin;
    is_draining_ = true;
    callers_.CloseAfterAnswers();
    log_.Info("Draining.", {{"in_progress", state_.requests_in_progress}});
    // Requests that began to arrive before may become whole much later.
    const TimePoint refuse_at = std::min(started_at + kBalancerDelay,
                                         started_at + (limit - started_at) / 2);
    SleepUntil(refuse_at);
    state_.ends_at = limit;
    SleepUntil(std::min(started_at + kBalancerDelay, limit));
    callers_.Drain();
    AwaitRequests(limit);
    EndRequests();
    AwaitRequests(limit + kFinalAnswerTime);
    log_.Info("Stopped.",
              {{"cut_off", callers_.counts().requests_in_progress}});
  }

  const settings::GatewaySettings& settings_;
  std::string settings_path_;
  telemetry::Logger log_;
  net::NetworkLoop loop_;
  GatewayState state_;
  std::shared_ptr<const net::LinkAuthenticator> authenticator_;
  ControlFollower follower_;
  std::shared_ptr<net::ConnectionRegistry> registry_ =
      std::make_shared<net::ConnectionRegistry>(BudgetOptions(settings_));
  net::HttpServer callers_;
  net::HttpServer readiness_;
  net::HttpServer metrics_;
  Stamp file_stamp_;
  bool is_draining_ = false;
  bool was_ready_ = false;
  std::uint64_t logged_evictions_ = 0;
};

}  // namespace

int RunGateway(const settings::CommonSettings& common,
               const settings::GatewaySettings& settings,
               const std::string& settings_path,
               const GatewayInterface& interface) {
  const auto loaded =
      net::LoadAuthenticator(common.deployment, common.node, common.key_file);
  if (const auto* error = std::get_if<std::string>(&loaded)) {
    std::cerr << "gateway: " << *error << "\n";
    return 1;
  }
  const auto& authenticator =
      std::get<std::shared_ptr<const net::LinkAuthenticator>>(loaded);
  Process process(common, settings, settings_path, interface, authenticator);
  process.Run();
  return 0;
}

}  // namespace bilberryspool::gateway
