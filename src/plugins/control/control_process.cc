#include "plugins/control/control_process.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <future>
#include <random>
#include <thread>

#include "libs/net/fiber_signal.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/rings/thread_name.h"
#include "libs/storage/posix_file_system.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/metrics.h"
#include "plugins/control/claim_service.h"
#include "plugins/control/config_service.h"
#include "plugins/control/directory_driver.h"
#include "plugins/control/group_driver.h"
#include "plugins/control/ledger_file.h"

namespace bilberryspool::control {

using net::SteadyNow;

namespace {

constexpr std::size_t kReportCapacity = 1024;
// Longer than kFeedInterval, as the set of other entries rarely changes.
constexpr Duration kEntriesInterval = Seconds(1);
// How often the callers thread gets the current targets.
constexpr Duration kFeedInterval = Milliseconds(250);
// Number of consecutive feed intervals in which gossip must report the same
// entries before a new replica asks them to join.
constexpr std::size_t kStableFeedIntervals = 10;

membership::DirectoryOptions MakeDirectoryOptions(
    const settings::CommonSettings& common,
    const settings::EntrySettings& settings,
    Incarnation incarnation) {
  membership::DirectoryOptions options;
  options.self.node = common.node;
  options.self.domain = common.failure_domain;
  options.self.peer_address = settings.peers_advertise.ToString();
  options.self.incarnation = incarnation;
  for (const settings::SocketAddress& seed : settings.seeds) {
    options.seeds.push_back(seed.ToString());
  }
  return options;
}

std::vector<SeedMember> MakeSeeds(const settings::EntrySettings& settings) {
  std::vector<SeedMember> seeds;
  for (const settings::InitialMember& member : settings.initial_members) {
    seeds.push_back({member.node, {member.address.ip, member.address.port}});
  }
  return seeds;
}

spread::SpreaderOptions MakeSpreaderOptions(
    const settings::CommonSettings& common) {
  spread::SpreaderOptions options;
  options.self = common.node;
  options.domain = common.failure_domain;
  // Also with a data folder, until it contains a log.
  options.role = spread::SpreaderRole::kEntry;
  return options;
}

// The holders of claims are the control replicas that vote.
RosterUpdate MakeRosterUpdate(const ConfigService& config) {
  RosterUpdate update;
  for (const auto& [node, row] :
       config.configuration().table<config::ControlMemberSpec>()) {
    const std::uint64_t version = row.modified_at.value();
    if (version > update.roster.version.value()) {
      update.roster.version = attempts::RosterVersion(version);
    }
    if (row.spec.standing == config::MemberStanding::kLearner) {
      continue;
    }
    update.roster.members.push_back({node, row.spec.domain});
    if (const auto endpoint = net::ParseEndpoint(row.spec.address)) {
      update.addresses[node] = *endpoint;
    }
  }
  return update;
}

}  // namespace

struct ControlProcess::Private {
  Private(const settings::CommonSettings& common_settings,
          const settings::EntrySettings& entry_settings,
          std::shared_ptr<const net::LinkAuthenticator> link_authenticator,
          telemetry::Registry& registry,
          PushFeed push_feed)
      : common(common_settings),
        settings(entry_settings),
        authenticator(std::move(link_authenticator)),
        metrics(registry),
        push(std::move(push_feed)),
        log("control"),
        client(loop, authenticator),
        directory(loop,
                  client,
                  MakeDirectoryOptions(common, settings, incarnation),
                  std::random_device()()),
        spread(loop,
               client,
               MakeSpreaderOptions(common),
               std::random_device()(),
               MakeSpreadHooks()),
        config(loop, client, directory, spread, MakeSeeds(settings)),
        groups(loop,
               client,
               config,
               {common.node, incarnation, settings.peers_advertise.ToString()}),
        claims(MakeHolder(/*first_start=*/false)),
        reports(kReportCapacity,
                [this] { loop.Post([this] { PopReports(); }); }) {}

  void Run(std::promise<std::string>& started);
  // Returns an empty string, or why the replica can't start.
  std::string OpenReplica();
  void StartReplica(std::unique_ptr<storage::DataFolder> folder,
                    std::vector<NodeId> known_peers);
  // Starts the replica of a new folder without initial members, once gossip has
  // reported the other entries, among them the control group that it joins.
  void JoinAfterDiscovery(std::unique_ptr<storage::DataFolder> folder);
  // The other entries known from gossip.
  std::vector<NodeId> OtherEntries() const;
  void RunFeedLoop();
  void PushConfiguration();
  void PushEntries();
  std::optional<boost::json::value> OnDemand(const boost::json::value& params);
  void PopReports();
  attempts::ClaimHolder MakeHolder(bool first_start) const;
  storage::Result<void> InitializeHolder();
  void StoreLedger();
  spreading::SpreadHooks MakeSpreadHooks();
  ReplicaHooks MakeReplicaHooks();
  net::HttpServerOptions MakeServerOptions() const;

  const settings::CommonSettings& common;
  const settings::EntrySettings& settings;
  std::shared_ptr<const net::LinkAuthenticator> authenticator;
  telemetry::Registry& metrics;
  PushFeed push;
  telemetry::Logger log;
  Incarnation incarnation = net::WallIncarnation();
  net::NetworkLoop loop;
  links::LinkClient client;
  DirectoryDriver directory;
  spreading::SpreadDriver spread;
  ConfigService config;
  GroupDriver groups;
  ClaimService claims;
  StartOperators start_operators;
  storage::PosixFileSystem files;
  std::unique_ptr<LedgerFile> ledger_file;
  // Incarnation of the claim holder; grows by one with each start with this
  // data folder.
  Incarnation holder_incarnation;
  std::unique_ptr<ReplicaDriver> replica;
  bool is_config_pending = false;
  net::FiberSignal feed_due;
  TimePoint entries_pushed_at;
  rings::BoundedRing<CallerReport> reports;
  std::unique_ptr<links::LinkServer> server;
  std::thread thread;
};

net::HttpServerOptions ControlProcess::Private::MakeServerOptions() const {
  net::HttpServerOptions options;
  options.listen = {settings.peers_listen.ip, settings.peers_listen.port};
  constexpr std::size_t kMaxBodyBytes = 16UL * 1024 * 1024;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

void ControlProcess::Private::Run(std::promise<std::string>& started) {
  rings::NameThisThread("control");
  server = std::make_unique<links::LinkServer>(
      loop, MakeServerOptions(), authenticator,
      [](net::HttpExchange& exchange) {
        net::HttpResponseHead head;
        head.status = 404;
        exchange.Respond(std::move(head), "no such call\n");
      },
      [this](const std::string& peer, net::LinkRefusal refusal) {
        log.Warn("Refused a peer.",
                 {{"peer", peer}, {"reason", net::Describe(refusal)}});
      });
  directory.SetOnTargetChanged([this] { feed_due.NotifyAll(); });
  directory.Register(*server);
  claims.Register(*server);
  spread.Register(*server);
  config.Register(*server);
  groups.Register(*server);
  config.SetGroups(&groups);
  server->Register("limits.demand", [this](const boost::json::value& params) {
    return OnDemand(params);
  });
  std::string error = OpenReplica();
  if (error.empty()) {
    error = server->Start();
  }
  if (error.empty() && start_operators) {
    error = start_operators(loop, config);
  }
  started.set_value(error);
  if (!error.empty()) {
    return;
  }
  directory.Start();
  spread.Start();
  config.Start();
  groups.Start();
  log.Info("Started.", {{"peers", settings.peers_listen.ToString()}});
  RunFeedLoop();
}

std::string ControlProcess::Private::OpenReplica() {
  if (!settings.is_control_replica()) {
    return "";
  }
  storage::DataFolderOptions options;
  options.path = settings.data_folder;
  options.deployment = common.deployment;
  options.node = common.node;
  std::random_device random;
  options.new_identity = consensus::ReplicaIdentity(
      (static_cast<std::uint64_t>(random()) << 31U) | random() | 1U);
  std::string error;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(folder, storage::DataFolder::Open(files, options));
        BOOST_LEAF_CHECK(InitializeHolder());
        const bool is_new_folder =
            folder->recovered().hard_state.cluster == consensus::ClusterId(0);
        if (is_new_folder && settings.initial_members.empty()) {
          JoinAfterDiscovery(std::move(folder));
          return {};
        }
        StartReplica(std::move(folder), {});
        return {};
      },
      [&](const storage::StorageError& failure) {
        error = "data folder: " + Describe(failure);
      },
      [&] { error = "data folder: unknown error"; });
  return error;
}

storage::Result<void> ControlProcess::Private::InitializeHolder() {
  ledger_file = std::make_unique<LedgerFile>(files, settings.data_folder);
  BOOST_LEAF_AUTO(start, ledger_file->ReadAndClear());
  holder_incarnation = start.incarnation;
  attempts::ClaimHolder holder = MakeHolder(/*first_start=*/false);
  const bool is_imported =
      start.ledger.has_value() && holder.Import(*start.ledger, SteadyNow());
  log.Info(is_imported
               ? "Imported the ledger of claims."
               : "No ledger of claims found; abstaining for one window.");
  claims.ReplaceHolder(std::move(holder));
  return {};
}

// Called at a planned stop; the holder does not vote after this.
void ControlProcess::Private::StoreLedger() {
  if (ledger_file == nullptr) {
    return;
  }
  const attempts::LedgerExport ledger = claims.StopAndExport();
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> { return ledger_file->Store(ledger); },
      [&](const storage::StorageError& failure) {
        log.Warn("Can't store the ledger of claims.",
                 {{"error", Describe(failure)}});
      },
      [&] { log.Warn("Can't store the ledger of claims."); });
}

void ControlProcess::Private::StartReplica(
    std::unique_ptr<storage::DataFolder> folder,
    std::vector<NodeId> known_peers) {
  consensus::ReplicaOptions options;
  for (const settings::InitialMember& member : settings.initial_members) {
    options.initial_voters.push_back(member.node);
  }
  options.known_peers = std::move(known_peers);
  const bool is_new_folder =
      folder->recovered().hard_state.cluster == consensus::ClusterId(0);
  replica = std::make_unique<ReplicaDriver>(loop, client, std::move(folder),
                                            options, std::random_device()(),
                                            MakeReplicaHooks());
  config.SetReplica(replica.get(), is_new_folder);
  replica->Register(*server);
  replica->Start();
}

void ControlProcess::Private::JoinAfterDiscovery(
    std::unique_ptr<storage::DataFolder> folder) {
  auto shared =
      std::make_shared<std::unique_ptr<storage::DataFolder>>(std::move(folder));
  loop.Spawn([this, shared] {
    // The configuration names the members, but a control replica receives it
    // only through the log, which it has not joined yet. So it asks all
    // entries.
    std::vector<NodeId> peers;
    std::size_t stable_intervals = 0;
    while (stable_intervals < kStableFeedIntervals) {
      loop.SleepFor(kFeedInterval);
      std::vector<NodeId> present = OtherEntries();
      stable_intervals =
          present == peers && !peers.empty() ? stable_intervals + 1 : 0;
      peers = std::move(present);
    }
    log.Info("Asking to join the control group.", {{"entries", peers.size()}});
    StartReplica(std::move(*shared), std::move(peers));
  });
}

std::vector<NodeId> ControlProcess::Private::OtherEntries() const {
  std::vector<NodeId> entries;
  for (const auto& [node, peer] : directory.directory().peers().peers()) {
    if (node != common.node) {
      entries.push_back(node);
    }
  }
  return entries;
}

ReplicaHooks ControlProcess::Private::MakeReplicaHooks() {
  ReplicaHooks hooks;
  hooks.apply = [this](const std::vector<consensus::LogEntry>& entries) {
    const bool had_bootstrapped = config.has_bootstrapped();
    config.Apply(entries);
    if (!had_bootstrapped && config.has_bootstrapped()) {
      // The deployment has never run before, so no earlier vote can be lost.
      claims.ReplaceHolder(MakeHolder(/*first_start=*/true));
      is_config_pending = true;
    }
  };
  hooks.restore = [this](const consensus::Snapshot& snapshot) {
    config.Restore(snapshot);
  };
  hooks.make_snapshot = [this] { return config.MakeSnapshot(); };
  hooks.role_changed = [this](const consensus::RoleChanged& change) {
    config.RoleChanged(change);
  };
  hooks.find_peer = [this](const NodeId& node) {
    return config.FindNode(node);
  };
  return hooks;
}

spreading::SpreadHooks ControlProcess::Private::MakeSpreadHooks() {
  spreading::SpreadHooks hooks;
  hooks.own_address = settings.peers_advertise.ToString();
  hooks.find_node = [this](const NodeId& node) {
    return config.FindNode(node);
  };
  hooks.topology = [this] { return config.Topology(); };
  hooks.in_force_changed = [this] {
    is_config_pending = true;
    feed_due.NotifyAll();
    log.Info("Configuration in force.",
             {{"version", config.configuration().version().value()}});
  };
  return hooks;
}

attempts::ClaimHolder ControlProcess::Private::MakeHolder(
    bool first_start) const {
  return attempts::ClaimHolder({}, common.node, holder_incarnation, first_start,
                               SteadyNow());
}

void ControlProcess::Private::PushConfiguration() {
  const bool is_known = config.configuration().version() > ConfigVersion(0);
  if (!is_config_pending || !is_known) {
    return;
  }
  RosterUpdate roster = MakeRosterUpdate(config);
  claims.AdoptRoster(roster.roster.version);
  // An empty roster is not pushed: it would count as the previous roster for a
  // whole window, and no claim can get a majority of zero members.
  const bool has_roster = !roster.roster.members.empty();
  const bool is_pushed =
      (!has_roster || push(std::move(roster))) &&
      push(ConfigUpdate{
          std::make_shared<const config::Configuration>(config.configuration()),
          spread.spreader().stale(SteadyNow())});
  // If the ring was full, the push is retried with the next update.
  is_config_pending = !is_pushed;
}

void ControlProcess::Private::PushEntries() {
  const TimePoint now = SteadyNow();
  if (now - entries_pushed_at < kEntriesInterval) {
    return;
  }
  entries_pushed_at = now;
  EntriesUpdate update;
  for (const auto& [domain, nodes] : config.Topology().entries) {
    for (const NodeId& node : nodes) {
      const auto endpoint = config.FindNode(node);
      if (node != common.node && endpoint.has_value()) {
        update.entries[node] = *endpoint;
      }
    }
  }
  push(std::move(update));
}

// {"entry": NODE, "demands": [[WORKSPACE, REQUESTS_PER_SECOND], ...]}
std::optional<boost::json::value> ControlProcess::Private::OnDemand(
    const boost::json::value& params) {
  const auto* object = params.if_object();
  const auto* entry =
      object != nullptr ? object->if_contains("entry") : nullptr;
  const auto* rows =
      object != nullptr ? object->if_contains("demands") : nullptr;
  const bool is_valid = entry != nullptr && entry->is_string() &&
                        rows != nullptr && rows->is_array();
  if (!is_valid) {
    return std::nullopt;
  }
  DemandUpdate update;
  update.entry = NodeId(std::string(entry->as_string()));
  for (const boost::json::value& row : rows->as_array()) {
    const auto* pair = row.if_array();
    if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
        !(*pair)[1].is_number()) {
      return std::nullopt;
    }
    update.demands.push_back({Workspace(std::string((*pair)[0].as_string())),
                              (*pair)[1].to_number<double>()});
  }
  push(std::move(update));
  return boost::json::value(true);
}

void ControlProcess::Private::PopReports() {
  reports.PopAll(
      [this](CallerReport&& report) { config.AddReport(std::move(report)); });
}

void ControlProcess::Private::RunFeedLoop() {
  while (true) {
    // If the ring is full, the next update replaces this one.
    push(directory.MakeTargetsUpdate(SteadyNow()));
    PushConfiguration();
    PushEntries();
    // A change of a target or of the configuration ends the wait early.
    feed_due.WaitUntil(SteadyNow() + kFeedInterval);
  }
}

ControlProcess::ControlProcess(
    const settings::CommonSettings& common,
    const settings::EntrySettings& settings,
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    telemetry::Registry& metrics,
    PushFeed push)
    : d_(std::make_unique<Private>(common,
                                   settings,
                                   std::move(authenticator),
                                   metrics,
                                   std::move(push))) {}

void ControlProcess::SetOperators(StartOperators start) {
  d_->start_operators = std::move(start);
}

ControlProcess::~ControlProcess() {
  if (d_->thread.joinable()) {
    d_->thread.detach();
  }
}

std::string ControlProcess::Start() {
  std::promise<std::string> started;
  std::future<std::string> error = started.get_future();
  d_->thread = std::thread([this, &started] {
    d_->loop.Run([this, &started] { d_->Run(started); });
  });
  return error.get();
}

bool ControlProcess::EnqueueReport(CallerReport&& report) {
  return d_->reports.TryPush(std::move(report));
}

void ControlProcess::StartDraining() {
  d_->loop.Post([this] {
    d_->log.Info("Draining.");
    d_->StoreLedger();
    if (d_->replica != nullptr) {
      d_->loop.Spawn([this] { d_->replica->Stop(); });
    }
  });
}

}  // namespace bilberryspool::control
