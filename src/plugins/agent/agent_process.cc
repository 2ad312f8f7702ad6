#include "plugins/agent/agent_process.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>

#include "libs/links/link_server.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/telemetry/metrics.h"
#include "libs/telemetry/open_spans.h"
#include "plugins/agent/announce_driver.h"
#include "plugins/agent/attempt_service.h"
#include "plugins/agent/load_probe.h"
#include "plugins/agent/rank_driver.h"
#include "plugins/spreading/spread_driver.h"

namespace bilberryspool::agent {

using net::SteadyNow;

namespace {

constexpr Duration kProbeInterval = Milliseconds(250);
// Poll interval while a stop waits for attempts, and then for entries to read
// the rest of their answers.
constexpr Duration kStopPollInterval = Milliseconds(20);

net::Endpoint ToEndpoint(const settings::SocketAddress& address) {
  return {address.ip, address.port};
}

class AgentProcess {
 public:
  AgentProcess(net::NetworkLoop& loop,
               const settings::CommonSettings& common,
               const settings::AgentSettings& settings,
               std::shared_ptr<const net::LinkAuthenticator> authenticator,
               telemetry::SpanWriter* spans)
      : loop_(loop),
        settings_(settings),
        log_("agent"),
        client_(loop, authenticator),
        incarnation_(net::WallIncarnation()),
        attempts_(loop,
                  MakeServiceOptions(settings),
                  incarnation_,
                  SteadyNow(),
                  metrics_,
                  spans),
        announcer_(loop,
                   client_,
                   MakeAnnouncerOptions(common, settings, incarnation_),
                   std::random_device()()),
        spread_(loop,
                client_,
                MakeSpreaderOptions(common),
                std::random_device()(),
                MakeSpreadHooks()),
        probe_(loop,
               ToEndpoint(settings.engine.address),
               kProbeInterval,
               [this](const auto& load) { OnLoad(load); }),
        server_(
            loop,
            MakeServerOptions(settings),
            std::move(authenticator),
            [this](net::HttpExchange& exchange) { attempts_.Handle(exchange); },
            [this](const std::string& peer, net::LinkRefusal refusal) {
              log_.Warn("Refused a peer.",
                        {{"peer", peer}, {"reason", net::Describe(refusal)}});
            }) {
    if (settings.group_place.has_value()) {
      CreateRankDriver(*settings.group_place);
    }
  }

  // Returns an error message, or an empty string on success.
  std::string Start();
  // Leaves membership, then waits for the running attempts until the drain
  // limit.
  void Drain();

 private:
  static AttemptServiceOptions MakeServiceOptions(
      const settings::AgentSettings& settings);
  static membership::AnnouncerOptions MakeAnnouncerOptions(
      const settings::CommonSettings& common,
      const settings::AgentSettings& settings,
      Incarnation incarnation);
  static net::HttpServerOptions MakeServerOptions(
      const settings::AgentSettings& settings);
  void CreateRankDriver(const settings::GroupPlace& place);
  static spread::SpreaderOptions MakeSpreaderOptions(
      const settings::CommonSettings& common);
  spreading::SpreadHooks MakeSpreadHooks();
  void OnLoad(const std::optional<membership::LoadReport>& load);
  void OnRankServing(bool is_serving);
  void UpdateState();

  net::NetworkLoop& loop_;
  const settings::AgentSettings& settings_;
  telemetry::Logger log_;
  telemetry::Registry metrics_;
  links::LinkClient client_;
  Incarnation incarnation_;
  AttemptService attempts_;
  AnnounceDriver announcer_;
  spreading::SpreadDriver spread_;
  LoadProbe probe_;
  links::LinkServer server_;
  std::unique_ptr<RankDriver> rank_;  // null if the target is not in a group
  bool is_draining_ = false;
  bool is_serving_ = false;
  bool engine_answers_ = false;
  bool rank_serves_ = true;
};

AttemptServiceOptions AgentProcess::MakeServiceOptions(
    const settings::AgentSettings& settings) {
  AttemptServiceOptions options;
  options.engine = ToEndpoint(settings.engine.address);
  options.gate.capacity = settings.capacity_slots;
  return options;
}

membership::AnnouncerOptions AgentProcess::MakeAnnouncerOptions(
    const settings::CommonSettings& common,
    const settings::AgentSettings& settings,
    Incarnation incarnation) {
  membership::AnnouncerOptions options;
  membership::Announcement& description = options.description;
  description.target = settings.target;
  description.node = common.node;
  description.domain = common.failure_domain;
  description.address = settings.advertise.ToString();
  description.kind = settings.engine.kind == settings::EngineKind::kPlain
                         ? membership::TargetKind::kPlain
                         : membership::TargetKind::kEngine;
  description.services = settings.services;
  description.slots = settings.capacity_slots;
  description.claim.incarnation = incarnation;
  description.checks_fencing = settings.engine.checks_fencing;
  for (const settings::SocketAddress& entry : settings.entries) {
    options.seeds.push_back(entry.ToString());
  }
  return options;
}

spread::SpreaderOptions AgentProcess::MakeSpreaderOptions(
    const settings::CommonSettings& common) {
  spread::SpreaderOptions options;
  options.self = common.node;
  options.domain = common.failure_domain;
  options.role = spread::SpreaderRole::kAgent;
  return options;
}

spreading::SpreadHooks AgentProcess::MakeSpreadHooks() {
  spreading::SpreadHooks hooks;
  hooks.own_address = settings_.advertise.ToString();
  // Entries are known only by the messages they have sent.
  hooks.find_node = [](const NodeId&) { return std::nullopt; };
  hooks.topology = [this] {
    spread::TopologyChanged topology;
    for (const auto& [node, endpoint] : spread_.senders()) {
      topology.parents.push_back(node);
    }
    return topology;
  };
  hooks.in_force_changed = [this] {
    log_.Info("Configuration in force.",
              {{"version", spread_.applied().version().value()}});
  };
  return hooks;
}

net::HttpServerOptions AgentProcess::MakeServerOptions(
    const settings::AgentSettings& settings) {
  net::HttpServerOptions options;
  options.listen = ToEndpoint(settings.listen);
  constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

std::string AgentProcess::Start() {
  using Json = boost::json::value;
  server_.Register("attempts.settle", [this](const Json& params) {
    return attempts_.Settle(params);
  });
  server_.Register("attempts.cancel", [this](const Json& params) {
    return attempts_.Cancel(params);
  });
  server_.Register("attempts.token", [this](const Json& params) {
    return attempts_.Token(params);
  });
  if (rank_ != nullptr) {
    rank_->Register(server_);
  }
  spread_.Register(server_);
  std::string error = server_.Start();
  if (!error.empty()) {
    return error;
  }
  if (rank_ != nullptr) {
    rank_->Start();
  }
  announcer_.Start();
  spread_.Start();
  probe_.Start();
  log_.Info("Started.", {{"target", settings_.target.value()},
                         {"listen", settings_.listen.ToString()},
                         {"engine", settings_.engine.address.ToString()}});
  return "";
}

void AgentProcess::CreateRankDriver(const settings::GroupPlace& place) {
  RankDriverOptions options;
  options.group = place.group;
  options.rank = place.rank;
  options.target = settings_.target;
  options.engine = ToEndpoint(settings_.engine.address);
  rank_ = std::make_unique<RankDriver>(
      loop_, client_, std::move(options), incarnation_,
      [this](bool is_serving) { OnRankServing(is_serving); });
}

void AgentProcess::OnLoad(const std::optional<membership::LoadReport>& load) {
  if (load.has_value()) {
    membership::LoadReport report = *load;
    report.limit = static_cast<std::uint32_t>(attempts_.limit());
    announcer_.Handle(membership::LoadMeasured{report});
    attempts_.SetLoad(load->running, load->queued);
  }
  if (engine_answers_ != load.has_value()) {
    engine_answers_ = load.has_value();
    log_.Info(engine_answers_ ? "Engine answers." : "Engine is silent.");
  }
  UpdateState();
}

// A group that is stalled or not in service produces no tokens, so requests
// sent to it would wait.
void AgentProcess::OnRankServing(bool is_serving) {
  rank_serves_ = is_serving;
  attempts_.SetHeld(!is_serving);
  UpdateState();
}

// A target is announced as serving only while its engine answers and its group
// runs steps.
void AgentProcess::UpdateState() {
  const bool should_serve = engine_answers_ && rank_serves_;
  if (is_draining_ || should_serve == is_serving_) {
    return;
  }
  is_serving_ = should_serve;
  announcer_.Handle(membership::StateChanged{
      should_serve ? membership::TargetState::kServing
                   : membership::TargetState::kJoining});
}

// Entries are notified first. The gate closes after its grace period whether or
// not they confirmed it. Running attempts end by themselves or at the drain
// limit.
void AgentProcess::Drain() {
  is_draining_ = true;
  log_.Info("Draining.", {{"running", attempts_.running()}});
  attempts_.StartDraining();
  announcer_.Handle(
      membership::StateChanged{membership::TargetState::kLeaving});
  const TimePoint started = SteadyNow();
  const TimePoint limit = started + settings_.drain_grace;
  const TimePoint earliest =
      started + attempts::AttemptGateOptions().drain_grace_period;
  while (SteadyNow() < limit) {
    const bool may_stop =
        announcer_.leaving_confirmed() || SteadyNow() >= earliest;
    if (may_stop && attempts_.running() == 0) {
      break;
    }
    loop_.SleepFor(kStopPollInterval);
  }
  attempts_.StopNewWork();
  server_.Drain();
  const TimePoint answer_deadline = SteadyNow() + Seconds(1);
  while (server_.counts().requests_in_progress > 0 &&
         SteadyNow() < answer_deadline) {
    loop_.SleepFor(kStopPollInterval);
  }
  log_.Info("Stopped.", {{"cut", attempts_.running()}});
}

}  // namespace

int RunAgent(const settings::CommonSettings& common,
             const settings::AgentSettings& settings) {
  const auto loaded =
      net::LoadAuthenticator(common.deployment, common.node, common.key_file);
  if (const auto* error = std::get_if<std::string>(&loaded)) {
    std::cerr << "agent: " << *error << "\n";
    return 1;
  }
  const auto& authenticator =
      std::get<std::shared_ptr<const net::LinkAuthenticator>>(loaded);
  std::optional<telemetry::SpanWriter> spans = telemetry::OpenSpanWriter(
      common.trace.file, "bilberryspool-agent", common.node.value());
  net::NetworkLoop loop;
  loop.Run([&] {
    AgentProcess process(loop, common, settings, authenticator,
                         spans.has_value() ? &*spans : nullptr);
    const std::string error = process.Start();
    if (!error.empty()) {
      std::cerr << "agent: " << error << "\n";
      std::_Exit(1);
    }
    int signals = 0;
    loop.OnStopSignal([&loop, &signals] {
      ++signals;
      if (signals > 1) {
        std::_Exit(0);
      }
      loop.Stop();
    });
    loop.WaitForStop();
    process.Drain();
    if (spans.has_value()) {
      spans->Stop();
    }
    // Fibers that wait for peers end with the process.
    std::_Exit(0);
  });
  return 0;
}

}  // namespace bilberryspool::agent
