#include "plugins/control_node/control_node.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <random>
#include <set>

#include "libs/base/overloaded.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/quarantine/quarantine_codec.h"
#include "libs/traffic/target_codec.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// Operators switch to another node after one second without a response.
constexpr Duration kSubmitTimeout = Milliseconds(2500);
constexpr Duration kReadTimeout = Milliseconds(800);
constexpr Duration kNotifyPeerTimeout = Milliseconds(500);
// Maximum time that a call waits for a leader to become known.
constexpr Duration kLeaderWaitTimeout = Milliseconds(700);
constexpr Duration kLeaderPollInterval = Milliseconds(50);
// Control nodes poll each other once a second.
constexpr Duration kNodeRetention = Seconds(6);
constexpr Duration kTickInterval = Milliseconds(250);
// Number of consecutive announcements that may be missed before a target counts
// as silent.
constexpr int kMissedAnnouncements = 3;

traffic::TargetRegistryOptions MakeRegistryOptions(
    const settings::ControlSettings& settings) {
  traffic::TargetRegistryOptions options;
  options.silence_timeout =
      settings.announcement_interval * kMissedAnnouncements;
  return options;
}

std::string_view StandingName(traffic::Standing standing) {
  switch (standing) {
    case traffic::Standing::kReady:
      return "ready";
    case traffic::Standing::kLeaving:
      return "leaving";
    case traffic::Standing::kGone:
      return "gone";
  }
  return "unknown";
}

// Returns "NAME/RANK epoch N open" or "... broken"; empty without a group.
std::string GroupText(const std::optional<traffic::GroupMembership>& group) {
  if (!group.has_value()) {
    return "";
  }
  return group->group.value() + "/" + std::to_string(group->rank) + " epoch " +
         std::to_string(group->epoch) + (group->is_open ? " open" : " broken");
}

}  // namespace

ControlNode::ControlNode(
    net::NetworkLoop& loop,
    const settings::CommonSettings& common,
    const settings::ControlSettings& settings,
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    traffic::ConfigurationReader read_configuration)
    : loop_(loop),
      client_(loop, std::move(authenticator)),
      read_configuration_(std::move(read_configuration)),
      log_("control"),
      targets_(MakeRegistryOptions(settings)),
      shares_group_loads_(settings.shares_group_loads),
      confirmations_(SteadyNow()),
      boot_(std::random_device()()),
      replica_(loop, client_, common, settings, MakeHooks()) {}

ReplicaHost::Hooks ControlNode::MakeHooks() {
  ReplicaHost::Hooks hooks;
  hooks.apply = [this](const std::string& command) {
    switch (state_.Apply(command)) {
      case ReplicatedState::Change::kNone:
        return;
      case ReplicatedState::Change::kConfiguration:
        log_.Info("Configuration in force.",
                  {{"version", configuration().version()}});
        changed_.NotifyAll();
        return;
      case ReplicatedState::Change::kEvacuations:
        LogEvacuations();
        changed_.NotifyAll();
        return;
      case ReplicatedState::Change::kRoster:
        log_.Info("The roster of gateways changed.",
                  {{"gateways", roster().size()},
                   {"confirmed", roster().confirmed()}});
        changed_.NotifyAll();
        return;
      case ReplicatedState::Change::kDepartures:
        ApplyDepartures(SteadyNow());
        return;
      case ReplicatedState::Change::kRefusals:
        quarantine_.OnLogRecords(state_.refusals(), SteadyNow());
        return;
    }
  };
  hooks.restore = [this](const std::string& state) {
    if (!state_.Import(state)) {
      log_.Error("Failed to read a snapshot.", {{"bytes", state.size()}});
    }
    quarantine_.OnLogRecords(state_.refusals(), SteadyNow());
    ApplyDepartures(SteadyNow());
    changed_.NotifyAll();
  };
  hooks.make_snapshot = [this] { return state_.Export(); };
  return hooks;
}

void ControlNode::Register(links::LinkServer& server) {
  replica_.Register(server);
  quarantine_.Register(server);
  limits_.Register(server);
  server.Register("control.submit",
                  [this](const Json& params) { return OnSubmit(params); });
  server.Register("control.evacuate",
                  [this](const Json& params) { return OnEvacuate(params); });
  server.Register("control.read", [this](const Json&) { return OnRead(); });
  server.Register("control.depart",
                  [this](const Json& params) { return OnDepart(params); });
  server.Register("control.target",
                  [this](const Json& params) { return OnTarget(params); });
}

std::string ControlNode::Start() {
  std::string error = replica_.Start();
  if (error.empty()) {
    loop_.Spawn([this] { Tick(); });
  }
  return error;
}

void ControlNode::Stop() {
  replica_.Stop();
}

void ControlNode::Tick() {
  while (true) {
    loop_.SleepFor(kTickInterval);
    quarantine_.Tick(SteadyNow());
    SaveRefusals(SteadyNow());
    SaveRoster();
    ProposeDepartures();
    limits_.Tick(SteadyNow());
    if (targets_.Tick(SteadyNow())) {
      log_.Info("Targets fell silent.", {{"revision", targets_.revision()}});
      changed_.NotifyAll();
    }
  }
}

void ControlNode::SaveRefusals(TimePoint now) {
  control::ReplicaDriver* driver = replica_.driver();
  if (is_saving_ || driver == nullptr || !replica_.is_leader()) {
    return;
  }
  const auto unsaved = quarantine_.RecordsToSave(now);
  if (!unsaved.has_value()) {
    return;
  }
  is_saving_ = true;
  loop_.Spawn([this, driver, records = *unsaved] {
    const auto result = driver->Propose(
        ReplicatedState::ProposeRefusals(records), kSubmitTimeout);
    if (!result.has_value()) {
      log_.Warn("The refused requests could not be saved in time.",
                {{"records", records.size()}});
    }
    is_saving_ = false;
  });
}

void ControlNode::NoteGateway(const std::string& name,
                              std::uint64_t known_count) {
  confirmations_.OnQuery(name, known_count, SteadyNow());
  if (!roster().Contains(name)) {
    new_gateways_.insert(name);
  }
}

void ControlNode::SaveRoster() {
  std::erase_if(new_gateways_, [this](const std::string& name) {
    return roster().Contains(name);
  });
  control::ReplicaDriver* driver = replica_.driver();
  if (is_saving_roster_ || driver == nullptr || !replica_.is_leader()) {
    return;
  }
  cold_targets::GatewayRoster::Change change;
  change.names.assign(new_gateways_.begin(), new_gateways_.end());
  change.confirmed = confirmations_.CountConfirmed(roster(), SteadyNow());
  if (change.names.empty() && change.confirmed <= roster().confirmed()) {
    return;
  }
  is_saving_roster_ = true;
  loop_.Spawn([this, driver, change] {
    const auto result =
        driver->Propose(ReplicatedState::ProposeRoster(change), kSubmitTimeout);
    if (!result.has_value()) {
      log_.Warn(
          "The roster of gateways could not be saved in time.",
          {{"new", change.names.size()}, {"confirmed", change.confirmed}});
    }
    is_saving_roster_ = false;
  });
}

SubmitOutcome ControlNode::Submit(const std::string& text) {
  const auto read = read_configuration_(text);
  if (const auto* reason = std::get_if<std::string>(&read)) {
    log_.Warn("Refused a configuration.", {{"reason", *reason}});
    return ConfigurationInvalid{*reason};
  }
  const auto& proposed = std::get<traffic::TrafficConfiguration>(read);
  // A configuration that an earlier version of the program accepted is
  // acknowledged again, also if it would be refused now.
  if (configuration().Holds(proposed.version, text)) {
    return ConfigurationAccepted{proposed.version};
  }
  if (const auto fault = traffic::FindFault(proposed)) {
    log_.Warn("Refused a configuration.",
              {{"version", proposed.version}, {"reason", *fault}});
    return ConfigurationInvalid{*fault};
  }
  const packing::PackedText packed = packing::Pack(text);
  SubmitOutcome outcome = ConfigurationOutcomeUnknown{"no leader is known"};
  const TimePoint limit = SteadyNow() + kLeaderWaitTimeout;
  while (true) {
    if (replica_.is_leader()) {
      outcome = SubmitLocally(proposed.version, packed);
      break;
    }
    for (const net::Endpoint& node : FindLeaderCandidates()) {
      outcome = SubmitToNode(node, proposed.version, packed);
      if (!std::holds_alternative<ConfigurationOutcomeUnknown>(outcome)) {
        break;
      }
    }
    if (!std::holds_alternative<ConfigurationOutcomeUnknown>(outcome)) {
      break;
    }
    if (SteadyNow() >= limit) {
      break;
    }
    loop_.SleepFor(kLeaderPollInterval);
  }
  const auto* unknown = std::get_if<ConfigurationOutcomeUnknown>(&outcome);
  log_.Info("Handled a configuration.",
            {{"version", proposed.version},
             {"outcome", unknown == nullptr ? "accepted" : unknown->reason},
             {"in_force", configuration().version()}});
  return outcome;
}

SubmitOutcome ControlNode::SubmitLocally(std::uint64_t version,
                                         const packing::PackedText& text) {
  control::ReplicaDriver* driver = replica_.driver();
  if (driver == nullptr) {
    return ConfigurationOutcomeUnknown{"the data folder is being opened"};
  }
  // An applied version is committed, so no later leader can revert it.
  if (version <= configuration().version()) {
    return ConfigurationAccepted{version};
  }
  const auto result = driver->Propose(
      config::NumberedConfiguration::Propose(version, text), kSubmitTimeout);
  if (!result.has_value()) {
    return ConfigurationOutcomeUnknown{"no majority answered in time"};
  }
  if (std::holds_alternative<consensus::Accepted>(*result)) {
    return ConfigurationAccepted{version};
  }
  return ConfigurationOutcomeUnknown{"this node does not lead any more"};
}

SubmitOutcome ControlNode::SubmitToNode(const net::Endpoint& leader,
                                        std::uint64_t version,
                                        const packing::PackedText& text) {
  const auto result = client_.Call(leader, "control.submit",
                                   {{"version", version}, {"text", text.value}},
                                   kSubmitTimeout);
  const auto* value = std::get_if<Json>(&result);
  if (value == nullptr) {
    client_.DropIdle(leader);
    return ConfigurationOutcomeUnknown{"the leader does not answer"};
  }
  if (value->is_bool() && value->as_bool()) {
    return ConfigurationAccepted{version};
  }
  return ConfigurationOutcomeUnknown{"the leader did not accept it in time"};
}

std::optional<ControlNode::Json> ControlNode::OnSubmit(const Json& params) {
  const auto* object = params.if_object();
  if (object == nullptr || !object->contains("version") ||
      !object->contains("text") || !object->at("text").is_string()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto version = object->at("version").to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  if (!replica_.is_leader()) {
    return Json(false);
  }
  const SubmitOutcome outcome = SubmitLocally(
      version,
      packing::PackedText{std::string(object->at("text").as_string())});
  return Json(std::holds_alternative<ConfigurationAccepted>(outcome));
}

std::optional<packing::PackedText> ControlNode::ReadLocally() {
  control::ReplicaDriver* driver = replica_.driver();
  if (driver == nullptr || !driver->WaitUntilCurrent(kReadTimeout) ||
      configuration().version() == 0) {
    return std::nullopt;
  }
  return configuration().text();
}

std::vector<net::Endpoint> ControlNode::FindLeaderCandidates() const {
  if (const auto leader = replica_.FindLeader()) {
    return {*leader};
  }
  // A node that is not a member of the log does not learn who leads. It asks
  // all members; each one reports whether it leads.
  return replica_.is_member() ? std::vector<net::Endpoint>()
                              : replica_.FindMembers();
}

std::optional<std::string> ControlNode::Read() {
  const auto packed = ReadPacked();
  return packed.has_value() ? packing::Unpack(*packed) : std::nullopt;
}

std::optional<packing::PackedText> ControlNode::ReadPacked() {
  if (replica_.is_leader()) {
    return ReadLocally();
  }
  for (const net::Endpoint& node : FindLeaderCandidates()) {
    const auto result =
        client_.Call(node, "control.read", boost::json::object{}, kReadTimeout);
    const auto* value = std::get_if<Json>(&result);
    if (value == nullptr) {
      client_.DropIdle(node);
    } else if (value->is_string()) {
      return packing::PackedText{std::string(value->as_string())};
    }
  }
  return std::nullopt;
}

std::optional<ControlNode::Json> ControlNode::OnRead() {
  if (!replica_.is_leader()) {
    return Json(nullptr);
  }
  const auto text = ReadLocally();
  return text.has_value() ? Json(text->value) : Json(nullptr);
}

bool ControlNode::Announce(const traffic::TargetAnnouncement& announcement) {
  if (targets_.Announce(announcement, SteadyNow())) {
    OnTargetChanged(announcement);
  }
  return announcement.standing == traffic::Standing::kReady ||
         SaveDeparture(announcement.run());
}

void ControlNode::OnTargetChanged(
    const traffic::TargetAnnouncement& announcement) {
  log_.Info("Target changed.",
            {{"target", announcement.target.value()},
             {"service", announcement.service.value()},
             {"address", announcement.address},
             {"standing", StandingName(announcement.standing)},
             {"group", GroupText(announcement.group)},
             {"cold", announcement.is_cold ? "yes" : "no"},
             {"incarnation", announcement.incarnation.value()},
             {"sequence", announcement.sequence}});
  changed_.NotifyAll();
  if (announcement.standing != traffic::Standing::kReady) {
    NotifyPeersOfTarget(targets_.records().at(announcement.target));
  }
}

void ControlNode::OnUnreadableAnnouncement(const TargetId& target) {
  constexpr Duration kMinLogInterval = Seconds(1);
  ++unreadable_announcements_;
  const TimePoint now = SteadyNow();
  if (unreadable_logged_at_ != TimePoint{} &&
      now - unreadable_logged_at_ < kMinLogInterval) {
    return;
  }
  unreadable_logged_at_ = now;
  // The target name comes unchecked from the request path, so its length is
  // bounded.
  constexpr std::size_t kMaxLoggedBytes = 64;
  log_.Warn("Failed to parse a target announcement.",
            {{"target", target.value().substr(0, kMaxLoggedBytes)},
             {"so_far", unreadable_announcements_}});
}

bool ControlNode::Withdraw(const TargetId& target, Incarnation incarnation) {
  // A withdrawal without an incarnation may reach a node that the target has
  // never announced itself to.
  const TargetRun run{target, incarnation == Incarnation()
                                  ? LatestIncarnationOf(target)
                                  : incarnation};
  if (targets_.Withdraw(target, run.incarnation, SteadyNow())) {
    log_.Info("Target left.", {{"target", target.value()},
                               {"incarnation", run.incarnation.value()}});
    changed_.NotifyAll();
    NotifyPeersOfTarget(targets_.records().at(target));
  }
  return SaveDeparture(run);
}

void ControlNode::SetSlowTargets(std::map<std::string, double> by_address) {
  // Each change is sent to all gateways at once; with hundreds of gateways that
  // takes a small node a fifth of a second.
  constexpr Duration kMinUpdateInterval = Milliseconds(500);
  const TimePoint now = SteadyNow();
  if (by_address == slow_targets_ ||
      now - slow_targets_published_at_ < kMinUpdateInterval) {
    return;
  }
  LogSlowTargets(by_address);
  slow_targets_ = std::move(by_address);
  slow_targets_published_at_ = now;
  ++slow_revision_;
  changed_.NotifyAll();
}

void ControlNode::OfferGroupLoads(std::vector<group_loads::GroupLoad> loads) {
  if (!shares_group_loads_) {
    return;
  }
  if (group_loads_.Offer(std::move(loads), SteadyNow())) {
    changed_.NotifyAll();
  }
}

void ControlNode::LogSlowTargets(
    const std::map<std::string, double>& by_address) {
  constexpr double kPercent = 100.0;
  for (const auto& [address, pace] : by_address) {
    const auto known = slow_targets_.find(address);
    if (known != slow_targets_.end() && known->second == pace) {
      continue;
    }
    log_.Info(
        "A target is slow.",
        {{"address", address}, {"percent", static_cast<int>(pace * kPercent)}});
  }
  for (const auto& [address, pace] : slow_targets_) {
    if (!by_address.contains(address)) {
      log_.Info("A target is well again.", {{"address", address}});
    }
  }
}

std::vector<net::Endpoint> ControlNode::FindNodes() const {
  std::vector<net::Endpoint> nodes = replica_.FindMembers();
  std::set<net::Endpoint> known(nodes.begin(), nodes.end());
  const TimePoint now = SteadyNow();
  for (const auto& [node, last_seen_at] : node_last_seen_at_) {
    if (now - last_seen_at < kNodeRetention && known.insert(node).second) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void ControlNode::OnNodeContact(const net::Endpoint& node) {
  node_last_seen_at_[node] = SteadyNow();
}

// Gateways that can't reach this node learn of a departure from the peers. The
// peers' responses are not awaited, as the log holds the departure.
void ControlNode::NotifyPeersOfTarget(const traffic::TargetRecord& record) {
  NotifyPeers("control.target", traffic::ToJson(record));
}

void ControlNode::NotifyPeers(const std::string& method, const Json& params) {
  for (const net::Endpoint& peer : FindNodes()) {
    if (peer.ToString() == replica_.self().value()) {
      continue;
    }
    loop_.Spawn([this, peer, method, params] {
      const auto result =
          client_.Call(peer, method, params, kNotifyPeerTimeout);
      if (std::holds_alternative<links::LinkError>(result)) {
        client_.DropIdle(peer);
      }
    });
  }
}

bool ControlNode::ReleaseRequest(
    const quarantine::RequestFingerprint& request) {
  const bool was_held = quarantine_.Release(request, SteadyNow());
  const std::vector<quarantine::Observation> release = {
      quarantine::ReleaseOrdered{request, Duration::zero()}};
  NotifyPeers("quarantine.report", quarantine::ToJson(release));
  return was_held;
}

std::optional<ControlNode::Json> ControlNode::OnTarget(const Json& params) {
  const auto record = traffic::TargetRecordFromJson(params);
  if (!record.has_value()) {
    return std::nullopt;
  }
  const traffic::TargetAnnouncement& announcement = record->announcement;
  const bool is_change =
      announcement.standing == traffic::Standing::kGone
          ? targets_.Withdraw(announcement.target, announcement.incarnation,
                              SteadyNow())
          : targets_.Announce(announcement, SteadyNow());
  if (is_change) {
    changed_.NotifyAll();
  }
  return Json(true);
}

}  // namespace bilberryspool::control_node
