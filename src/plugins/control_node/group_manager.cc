#include "plugins/control_node/group_manager.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/traffic/target_codec.h"
#include "libs/traffic/watch_codec.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

constexpr Duration kTickInterval = Milliseconds(25);
constexpr Duration kCollectInterval = Seconds(1);
// Interval while ranks of a group are unknown: after a change of leader or a
// restart of all control nodes, a group keeps a map that may not fit its load
// until the last rank is found.
constexpr Duration kIncompleteCollectInterval = Milliseconds(250);
constexpr Duration kPeerPollTimeout = Milliseconds(500);
constexpr std::uint64_t kVersionsPerTerm = 1ULL << 20U;

}  // namespace

GroupManager::GroupManager(net::NetworkLoop& loop,
                           links::LinkClient& client,
                           ControlNode& node,
                           const FailureDomain& domain,
                           std::uint16_t sidecar_port,
                           sidecar::EngineProtocol protocol,
                           traffic::ConfigurationReader read_configuration)
    : loop_(loop),
      links_(client),
      calls_(loop, client, sidecar_port),
      poller_(loop, calls_, domain),
      multicaster_(loop, calls_, protocol_),
      relay_(loop),
      node_(node),
      protocol_(std::move(protocol)),
      read_configuration_(std::move(read_configuration)),
      log_("groups") {}

void GroupManager::Start() {
  loop_.Spawn([this] { Run(); });
}

void GroupManager::Run() {
  while (true) {
    loop_.SleepFor(kTickInterval);
    const Duration interval =
        HasIncompleteGroup() ? kIncompleteCollectInterval : kCollectInterval;
    const bool is_due = SteadyNow() >= collect_due_;
    if (is_due) {
      collect_due_ = SteadyNow() + interval;
    }
    PollPeers(interval);
    std::vector<net::Endpoint> helpers = peers_.Responding(SteadyNow());
    const bool has_new_helpers = helpers != helpers_;
    helpers_ = std::move(helpers);
    EraseFinishedTasks();
    const bool leads = node_.replica().is_leader();
    const Term term = leads ? node_.replica().term() : Term();
    const LeadershipTerm::Verdict verdict =
        leadership_term_.Update(leads, term);
    if (verdict == LeadershipTerm::Verdict::kNotLeading) {
      node_.SetSlowTargets({});
      node_.OfferGroupLoads({});
      continue;
    }
    if (verdict == LeadershipTerm::Verdict::kNewTerm) {
      term_ = term;
      for (auto& [group, task] : tasks_) {
        retired_tasks_.push_back(std::move(task));
      }
      tasks_.clear();
    }
    if (is_due || verdict == LeadershipTerm::Verdict::kNewTerm) {
      CollectRanks();
    }
    std::map<std::string, double> slow;
    for (auto& [group, task] : tasks_) {
      if (is_due || has_new_helpers) {
        task->SetHelpers(helpers_);
      }
      task->SetGroups(tasks_.size());
      task->Tick();
      task->AddSlowTargets(slow);
    }
    node_.SetSlowTargets(std::move(slow));
    if (node_.shares_group_loads()) {
      node_.OfferGroupLoads(CollectLoads(SteadyNow()));
    }
  }
}

std::map<GroupId, GroupStats> GroupManager::stats(TimePoint now) const {
  std::map<GroupId, GroupStats> by_group;
  if (!node_.replica().is_leader()) {
    return by_group;
  }
  for (const auto& [group, task] : tasks_) {
    by_group[group] = task->stats(now);
  }
  return by_group;
}

std::vector<group_loads::GroupLoad> GroupManager::CollectLoads(
    TimePoint now) const {
  std::map<ServiceId, std::size_t> groups;
  for (const auto& [group, task] : tasks_) {
    ++groups[served_.at(group)];
  }
  std::vector<group_loads::GroupLoad> loads;
  for (const auto& [group, task] : tasks_) {
    const ServiceId& service = served_.at(group);
    const auto demands = demands_.find(service);
    if (demands == demands_.end() || !task->has_all_ranks() ||
        (groups[service] < 2 && !demands->second.has_urgent_routes)) {
      continue;
    }
    loads.push_back(task->LoadOf(service, demands->second.shortest_gap, now));
  }
  return loads;
}

bool GroupManager::HasIncompleteGroup() const {
  return std::any_of(tasks_.begin(), tasks_.end(), [](const auto& item) {
    return !item.second->has_all_ranks();
  });
}

void GroupManager::EraseFinishedTasks() {
  std::erase_if(retired_tasks_,
                [](const auto& task) { return !task->has_pending_calls(); });
}

void GroupManager::Serve(net::HttpExchange& exchange) {
  if (RankPoller::Handles(exchange.request())) {
    poller_.Answer(exchange);
    return;
  }
  if (OrderMulticaster::Handles(exchange.request())) {
    multicaster_.Answer(exchange);
    return;
  }
  Relay(exchange);
}

void GroupManager::Relay(net::HttpExchange& exchange) {
  const auto engine = net::ParseEndpoint(
      exchange.request().headers.ValueOr(sidecar::kEngineField, ""));
  if (!engine.has_value() || !KnowsEngine(*engine)) {
    net::HttpResponseHead head;
    head.status = net::status::kNotFound;
    exchange.Respond(std::move(head), "no such engine\n");
    return;
  }
  const std::string why = relay_.Relay(exchange, *engine);
  if (!why.empty()) {
    log_.Info("An engine does not answer an order that was passed on.",
              {{"engine", engine->ToString()}, {"why", why}});
  }
}

bool GroupManager::KnowsEngine(const net::Endpoint& engine) const {
  const std::string address = engine.ToString();
  const std::initializer_list<const traffic::TargetRegistry*> registries = {
      &node_.peer_targets(), &node_.targets()};
  for (const traffic::TargetRegistry* registry : registries) {
    for (const auto& [target, record] : registry->records()) {
      if (record.announcement.address == address &&
          record.announcement.group.has_value()) {
        return true;
      }
    }
  }
  return false;
}

void GroupManager::PollPeers(Duration interval) {
  std::set<net::Endpoint> nodes = std::exchange(reported_nodes_, {});
  for (const net::Endpoint& node : node_.FindNodes()) {
    nodes.insert(node);
  }
  for (const net::Endpoint& node : nodes) {
    if (node.ToString() != node_.replica().self().value() &&
        peers_.StartPoll(node, interval, SteadyNow())) {
      loop_.Spawn([this, node] {
        if (PollPeer(node)) {
          peers_.OnResponse(node, SteadyNow());
        } else {
          peers_.OnFailure(node);
        }
      });
    }
  }
}

bool GroupManager::PollPeer(const net::Endpoint& peer) {
  const PeerState peer_state = peer_states_[peer];
  traffic::WatchQuery query;
  query.control_address = node_.replica().self().value();
  query.boot = peer_state.boot;
  query.revision = peer_state.revision;
  query.version = node_.configuration().version();
  query.wants_configuration = false;
  query.quarantine_revision = peer_state.quarantine_revision;
  const auto result = links_.Call(peer, "control.watch", traffic::ToJson(query),
                                  kPeerPollTimeout);
  const auto* json = std::get_if<boost::json::value>(&result);
  if (json == nullptr) {
    links_.DropIdle(peer);
    return false;
  }
  const auto answer = traffic::WatchAnswerFromJson(*json);
  const auto targets = answer.has_value()
                           ? traffic::UnpackTargets(answer->targets)
                           : std::nullopt;
  if (!targets.has_value()) {
    log_.Warn("Failed to parse a control node's answer.",
              {{"node", peer.ToString()}});
    return false;
  }
  peer_states_[peer] = {answer->boot, answer->revision,
                        answer->quarantine_revision};
  if (answer->quarantine.has_value()) {
    node_.quarantine().Adopt(*answer->quarantine, SteadyNow());
  }
  node_.OnNodeContact(peer);
  node_.replica().LearnMembers(answer->members);
  for (const std::string& member : answer->members) {
    if (const auto endpoint = net::ParseEndpoint(member)) {
      reported_nodes_.insert(*endpoint);
    }
  }
  for (const traffic::TargetRecord& record : *targets) {
    if (record.announcement.standing == traffic::Standing::kGone) {
      node_.peer_targets().Withdraw(record.announcement.target,
                                    record.announcement.incarnation,
                                    SteadyNow());
    } else if (!record.is_silent) {
      node_.peer_targets().Announce(record.announcement, SteadyNow());
    }
  }
  return true;
}

const traffic::EngineModel* GroupManager::EngineOf(const ServiceId& service) {
  const config::NumberedConfiguration& accepted = node_.configuration();
  if (accepted.version() != read_version_) {
    const auto text = packing::Unpack(accepted.text());
    const auto read = read_configuration_(text.value_or(""));
    read_version_ = accepted.version();
    if (const auto* whole = std::get_if<traffic::TrafficConfiguration>(&read)) {
      services_ = whole->services;
      demands_ = traffic::DemandsByService(*whole);
    } else {
      log_.Error("Can't read the configuration.",
                 {{"version", accepted.version()}});
    }
  }
  const auto found = services_.find(service);
  return found == services_.end() || !found->second.engine.has_value()
             ? nullptr
             : &*found->second.engine;
}

// Several targets may have announced the same rank: one that terminated without
// withdrawing, and its successor. The one with the newest epoch counts, and
// among equals the one with the latest announcement.
void GroupManager::CollectRanks() {
  const std::initializer_list<const traffic::TargetRegistry*> registries = {
      &node_.peer_targets(), &node_.targets()};
  std::map<std::pair<GroupId, std::uint32_t>, const traffic::TargetRecord*>
      latest;
  for (const traffic::TargetRegistry* registry : registries) {
    for (const auto& [target, record] : registry->records()) {
      const auto& place = record.announcement.group;
      if (!place.has_value() ||
          record.announcement.standing == traffic::Standing::kGone) {
        continue;
      }
      const traffic::TargetRecord*& known = latest[{place->group, place->rank}];
      const auto age_of = [](const traffic::TargetRecord& item) {
        return std::pair(item.announcement.group->epoch, item.heard_at);
      };
      if (known == nullptr || age_of(*known) < age_of(record)) {
        known = &record;
      }
    }
  }
  for (const auto& [place, record] : latest) {
    UpdateTask(record->announcement);
  }
}

void GroupManager::UpdateTask(const traffic::TargetAnnouncement& announcement) {
  const traffic::GroupMembership& place = *announcement.group;
  const traffic::EngineModel* engine = EngineOf(announcement.service);
  const auto endpoint = net::ParseEndpoint(announcement.address);
  if (engine == nullptr || engine->expert_layers == 0 || place.size == 0 ||
      !endpoint.has_value()) {
    return;
  }
  auto& task = tasks_[place.group];
  if (task == nullptr || task->ranks() != place.size) {
    MapVersion first(term_.value() * kVersionsPerTerm + 1);
    if (task != nullptr) {
      // Orders of the old task may still be executed late, so its versions must
      // not be used again.
      first = std::max(first, task->unused_version());
      retired_tasks_.push_back(std::move(task));
    }
    task = std::make_unique<GroupTask>(loop_, calls_, poller_, multicaster_,
                                       protocol_, place.group, *engine,
                                       place.size, term_, first);
    task->SetHelpers(helpers_);
    task->SetTracksPasses(node_.shares_group_loads());
    task->SetMayAct([this, started = term_] {
      const ReplicaHost& replica = node_.replica();
      return LeadershipTerm::MayAct(replica.is_leader(), replica.term(),
                                    started);
    });
    log_.Info("Started managing a group.", {{"group", place.group.value()},
                                            {"ranks", place.size},
                                            {"term", term_.value()}});
  }
  task->SetAddress(RankIndex(place.rank), *endpoint, announcement.domain);
  served_[place.group] = announcement.service;
}

}  // namespace bilberryspool::control_node
