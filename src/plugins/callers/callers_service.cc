#include "plugins/callers/callers_service.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <random>

#include "libs/config/drain_spec.h"
#include "libs/config/placement_spec.h"
#include "libs/config/workspace_spec.h"
#include "libs/net/connection_registry.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/telemetry/metrics.h"
#include "plugins/callers/request_runner.h"

namespace bilberryspool::callers {

using net::SteadyNow;

namespace {

constexpr std::size_t kFeedCapacity = 64;
constexpr Duration kCapacityInterval = Milliseconds(100);
constexpr Duration kDemandInterval = Seconds(1);
constexpr Duration kDemandTimeout = Milliseconds(500);
constexpr Duration kHolderPollInterval = Milliseconds(50);
constexpr Duration kHolderTimeout = Milliseconds(400);
constexpr Duration kDrainPollInterval = Milliseconds(20);
constexpr Duration kFinalAnswerTimeout = Milliseconds(500);

net::HttpServerOptions MakeServerOptions(
    const settings::EntrySettings& settings) {
  net::HttpServerOptions options;
  options.listen = {settings.callers_listen.ip, settings.callers_listen.port};
  options.max_header_bytes = settings.limits.max_header_bytes;
  options.max_body_bytes = settings.limits.max_body_bytes;
  net::ConnectionBudgetOptions budget =
      net::BudgetForMemory(settings.limits.memory_mb);
  budget.max_connections = settings.limits.max_open_connections;
  options.registry = std::make_shared<net::ConnectionRegistry>(budget);
  options.request_timeout = settings.limits.header_timeout;
  options.idle_timeout = settings.limits.idle_timeout;
  return options;
}

ClassifyOptions MakeClassifyOptions(const settings::EntrySettings& settings) {
  return {settings.limits.default_deadline, settings.limits.max_deadline};
}

// Whether an operator has drained the target, its failure domain or all
// targets.
bool IsDrained(const config::Configuration* configuration,
               const routing::TargetView& view) {
  if (configuration == nullptr) {
    return false;
  }
  for (const auto& [selector, row] :
       configuration->table<config::DrainSpec>()) {
    if (config::Selects(selector, view.target, view.domain)) {
      return true;
    }
  }
  return false;
}

}  // namespace

CallersService::CallersService(
    net::NetworkLoop& loop,
    const settings::CommonSettings& common,
    const settings::EntrySettings& settings,
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    telemetry::Registry& metrics,
    telemetry::SpanWriter* spans)
    : loop_(loop),
      settings_(settings),
      metrics_(metrics),
      state_(loop,
             std::move(authenticator),
             common.node,
             common.failure_domain,
             net::WallIncarnation(),
             metrics,
             std::random_device()()),
      chain_(state_,
             MakeClassifyOptions(settings),
             common.trace.sample_permille,
             spans,
             std::random_device()()),
      server_(loop,
              MakeServerOptions(settings),
              [this](net::HttpExchange& exchange) { Handle(exchange); }),
      feeds_(kFeedCapacity, [this] { loop_.Post([this] { PopFeeds(); }); }) {}

std::string CallersService::Start() {
  const std::string error = server_.Start();
  if (!error.empty()) {
    return error;
  }
  state_.admission.Start();
  loop_.Spawn([this] {
    while (true) {
      state_.Beat();
      UpdateCapacity();
      loop_.SleepFor(kCapacityInterval);
    }
  });
  loop_.Spawn([this] {
    while (true) {
      loop_.SleepFor(kDemandInterval);
      AnnounceDemand();
    }
  });
  loop_.Spawn([this] { PollHolders(); });
  state_.log.Info("Started.",
                  {{"listen", settings_.callers_listen.ToString()}});
  return "";
}

bool CallersService::TakeFeed(control::ControlFeed&& feed) {
  return feeds_.TryPush(std::move(feed));
}

void CallersService::PopFeeds() {
  feeds_.PopAll([this](control::ControlFeed&& feed) {
    std::visit([this](const auto& update) { Adopt(update); }, feed);
  });
}

void CallersService::Adopt(const control::TargetsUpdate& update) {
  state_.agents.Adopt(update.targets);
  views_.clear();
  std::set<ServiceId> served;
  for (const control::TargetRow& row : update.targets) {
    views_[row.view.target] = row.view;
    served.insert(row.view.services.begin(), row.view.services.end());
  }
  readiness_.SetServed(std::move(served));
  UpdateRouting();
}

void CallersService::Adopt(const control::RosterUpdate& update) {
  state_.rosters.Adopt(update.roster, SteadyNow());
  state_.holder_addresses = update.addresses;
  readiness_.SetRoster(update.roster);
  for (RequestRunner* runner : state_.runners) {
    runner->OnRosterChanged();
  }
}

void CallersService::Adopt(const control::ConfigUpdate& update) {
  state_.services.Adopt(update.configuration);
  std::set<ServiceId> allowed;
  for (const auto& [key, row] :
       update.configuration->table<config::PlacementSpec>()) {
    allowed.insert(row.spec.service);
  }
  readiness_.SetAllowed(std::move(allowed), SteadyNow());
  limits::LimitsChanged limits;
  for (const auto& [id, row] :
       update.configuration->table<config::WorkspaceSpec>()) {
    const config::WorkspaceSpec& spec = row.spec;
    limits::WorkspaceLimits workspace;
    workspace.workspace = id;
    workspace.weight = spec.weight;
    workspace.requests_per_second = spec.requests_per_second.value_or(0);
    workspace.request_burst = workspace.requests_per_second;
    workspace.tokens_per_second = spec.tokens_per_second.value_or(0);
    workspace.token_burst = workspace.tokens_per_second;
    workspace.concurrent = spec.concurrent_requests.value_or(0);
    limits.limits.push_back(workspace);
  }
  state_.admission.Handle(limits);
  UpdateRouting();
}

void CallersService::Adopt(const control::EntriesUpdate& update) {
  for (const auto& [node, endpoint] : entries_) {
    if (!update.entries.contains(node)) {
      state_.admission.Handle(limits::PeerGone{node});
    }
  }
  entries_ = update.entries;
}

void CallersService::Adopt(const control::DemandUpdate& update) {
  state_.admission.Handle(limits::PeerDemand{update.entry, update.demands});
}

// An entry without demand sends that once and then nothing more.
void CallersService::AnnounceDemand() {
  const auto demands = state_.admission.AnnounceDemand();
  if (demands.empty() && !has_announced_demand_) {
    return;
  }
  has_announced_demand_ = !demands.empty();
  boost::json::array rows;
  for (const limits::WorkspaceDemand& demand : demands) {
    rows.push_back(boost::json::array{demand.workspace.value(),
                                      demand.requests_per_second});
  }
  const boost::json::value params = boost::json::object{
      {"entry", state_.self.value()}, {"demands", std::move(rows)}};
  for (const auto& [node, endpoint] : entries_) {
    loop_.Spawn([this, params, to = endpoint] {
      state_.links.Call(to, "limits.demand", params, kDemandTimeout);
    });
  }
}

void CallersService::UpdateRouting() {
  const TimePoint now = SteadyNow();
  const config::Configuration* configuration = state_.services.configuration();
  std::set<TargetId> seen;
  for (const auto& [id, view] : views_) {
    routing::TargetView routed_view = view;
    if (IsDrained(configuration, view) &&
        routed_view.state == routing::TargetState::kServing) {
      routed_view.state = routing::TargetState::kDraining;
    }
    state_.router.Handle(routing::TargetUpdated{routed_view}, now);
    seen.insert(id);
  }
  for (const TargetId& id : known_targets_) {
    if (!seen.contains(id)) {
      state_.router.Handle(routing::TargetRemoved{id}, now);
    }
  }
  known_targets_ = std::move(seen);
  if (configuration == nullptr) {
    return;
  }
  std::map<ServiceId, routing::Placement> placements;
  for (const auto& [key, row] : configuration->table<config::PlacementSpec>()) {
    routing::Placement& placement = placements[row.spec.service];
    placement.service = row.spec.service;
    for (const auto& [id, view] : views_) {
      if (config::Selects(row.spec.targets, view.target, view.domain)) {
        placement.targets.push_back(id);
      }
    }
  }
  routing::ConfigChanged changed;
  for (auto& [service, placement] : placements) {
    changed.placements.push_back(std::move(placement));
  }
  state_.router.Handle(changed, now);
  UpdateCapacity();
}

void CallersService::UpdateCapacity() {
  const config::Configuration* configuration = state_.services.configuration();
  if (configuration == nullptr) {
    return;
  }
  const TimePoint now = SteadyNow();
  for (const auto& [id, row] : configuration->table<config::ServiceSpec>()) {
    state_.admission.Handle(limits::CapacityChanged{
        id, state_.router.Capacity(
                id, state_.admission.admission().entry_share(now), now)});
  }
}

bool CallersService::is_ready() {
  return !is_draining_ && readiness_.IsReady(SteadyNow());
}

void CallersService::PollHolders() {
  while (!readiness_.IsReady(SteadyNow())) {
    LogReadiness();
    for (const NodeId& holder : readiness_.HoldersWithoutVote()) {
      loop_.Spawn([this, holder] { PollHolder(holder); });
    }
    loop_.SleepFor(kHolderPollInterval);
  }
  LogReadiness();
  state_.log.Info("Ready.", {{"lacks", ToString(readiness_.FirstMissing())}});
}

void CallersService::PollHolder(const NodeId& holder) {
  const auto address = state_.holder_addresses.find(holder);
  if (address == state_.holder_addresses.end() ||
      !polled_holders_.insert(holder).second) {
    return;
  }
  const net::Endpoint endpoint = address->second;
  const attempts::RosterVersion version = readiness_.roster();
  const auto result = state_.links.Call(
      endpoint, "claims.votes",
      boost::json::object{{"roster", version.value()}}, kHolderTimeout);
  polled_holders_.erase(holder);
  const auto* answer = std::get_if<boost::json::value>(&result);
  if (answer == nullptr) {
    state_.links.DropIdle(endpoint);
    return;
  }
  readiness_.SetVote(holder, version, answer->is_bool() && answer->as_bool());
}

void CallersService::LogReadiness() {
  const MissingInput missing = readiness_.FirstMissing();
  if (logged_missing_ == missing) {
    return;
  }
  logged_missing_ = missing;
  boost::json::array without_vote;
  for (const NodeId& holder : readiness_.HoldersWithoutVote()) {
    without_vote.emplace_back(holder.value());
  }
  state_.log.Info("What the entry lacks before it is ready.",
                  {{"lacks", ToString(missing)},
                   {"roster", readiness_.roster().value()},
                   {"holders_unheard", boost::json::serialize(without_vote)}});
}

void CallersService::Handle(net::HttpExchange& exchange) {
  const std::string& target = exchange.request().target;
  if (target == "/healthz") {
    HandleHealth(exchange);
    return;
  }
  if (target == "/metrics") {
    HandleMetrics(exchange);
    return;
  }
  chain_.Handle(exchange);
}

void CallersService::HandleHealth(net::HttpExchange& exchange) {
  net::HttpResponseHead head;
  head.status = is_ready() ? 200 : net::status::kUnavailable;
  head.headers.Add("Content-Type", "text/plain");
  const std::string_view text = is_draining_ ? "draining\n"
                                : is_ready() ? "ready\n"
                                             : "starting\n";
  exchange.Respond(std::move(head), text);
}

void CallersService::HandleMetrics(net::HttpExchange& exchange) {
  metrics_
      .GaugeFor({"bilberryspool_requests_in_progress", "Requests being served"})
      .Set(static_cast<double>(state_.runners.size()));
  metrics_
      .GaugeFor({"bilberryspool_feeds_refused",
                 "Updates of the control thread that found the ring full"})
      .Set(static_cast<double>(feeds_.refused()));
  net::HttpResponseHead head;
  head.headers.Add("Content-Type", "text/plain; version=0.0.4");
  exchange.Respond(std::move(head), metrics_.ToPrometheusText());
}

void CallersService::Drain(Duration limit) {
  is_draining_ = true;
  const TimePoint deadline = SteadyNow() + limit;
  state_.log.Info("Draining.", {{"running", state_.runners.size()}});
  // Leaves the platform's load balancer time to notice the failing health
  // check.
  const TimePoint notice_deadline =
      SteadyNow() + std::min(limit / 4, Seconds(2));
  while (SteadyNow() < notice_deadline) {
    loop_.SleepFor(kDrainPollInterval);
  }
  server_.Drain();
  while (server_.counts().requests_in_progress > 0 && SteadyNow() < deadline) {
    loop_.SleepFor(kDrainPollInterval);
  }
  for (RequestRunner* runner : state_.runners) {
    runner->Stop();
  }
  const TimePoint answer_deadline = SteadyNow() + kFinalAnswerTimeout;
  while (server_.counts().requests_in_progress > 0 &&
         SteadyNow() < answer_deadline) {
    loop_.SleepFor(kDrainPollInterval);
  }
  state_.log.Info("Stopped.", {{"cut", server_.counts().requests_in_progress}});
}

}  // namespace bilberryspool::callers
