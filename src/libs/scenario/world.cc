#include "libs/scenario/world.h"

#include <algorithm>
#include <utility>

#include "libs/language/parser.h"

namespace bilberryspool::scenario {
namespace {

template <typename Slots>
auto* NodeIn(const Slots& slots, const NodeId& node) {
  const auto found = slots.find(node);
  return found == slots.end() ? nullptr : found->second.node.get();
}

std::string Describe(const std::optional<config::Outcome>& outcome) {
  if (!outcome.has_value()) {
    return "has no answer";
  }
  if (const auto* refused = std::get_if<config::Refused>(&*outcome)) {
    return "is refused: " + refused->detail;
  }
  return "is told version " +
         std::to_string(std::get<config::Accepted>(*outcome).version.value());
}

}  // namespace

World::World(const Deployment& deployment,
             std::uint64_t seed,
             Verdict::Listener listener)
    : network_(
          seed,
          [this](const NodeId& from, const NodeId& to, const Frame& frame) {
            Deliver(from, to, frame);
          }),
      verdict_([this] { return network_.now(); }, std::move(listener)),
      checks_(verdict_),
      request_registry_(verdict_) {
  MakeEntries(deployment);
  MakeAgents(deployment);
  for (const NodeId& node : nodes()) {
    Restart(node);
  }
}

void World::MakeEntries(const Deployment& deployment) {
  for (std::uint32_t i = 0; i < deployment.entries; ++i) {
    const NodeId node("entry-" + std::to_string(i + 1));
    settings_.entries.push_back(node.value());
    EntrySlot& slot = entries_[node];
    slot.domain =
        FailureDomain(deployment.domains[i % deployment.domains.size()]);
    if (i < deployment.control) {
      settings_.initial_members.push_back(node);
    }
    if (i < deployment.control + deployment.spares) {
      slot.disk = std::make_unique<Disk>();
      EmptyDisk(node, *slot.disk);
    }
  }
}

void World::MakeAgents(const Deployment& deployment) {
  for (std::uint32_t i = 0; i < deployment.agents; ++i) {
    AgentNode::Settings settings;
    settings.node = NodeId("t" + std::to_string(i + 1));
    settings.domain =
        FailureDomain(deployment.domains[i % deployment.domains.size()]);
    for (const std::string& service : deployment.services) {
      settings.services.emplace_back(service);
    }
    for (const auto& [entry, slot] : entries_) {
      if (slot.domain == settings.domain) {
        settings.entries.push_back(entry.value());
      }
    }
    const NodeId node = settings.node;
    agents_[node].settings = std::move(settings);
  }
}

void World::EmptyDisk(const NodeId& node, Disk& disk) {
  const auto identity = network_.random().engine()() | 1U;
  disk = Disk{};
  disk.synced.self = {node, consensus::ReplicaIdentity(identity)};
}

bool World::RunUntil(TimePoint end, const std::function<bool()>& done) {
  while (!verdict_.failed() && !done()) {
    if (!network_.Step(end)) {
      return done();
    }
    checks_.OnLeaderCount(leaders().size());
  }
  return !verdict_.failed();
}

void World::Deliver(const NodeId& from, const NodeId& to, const Frame& frame) {
  if (auto* entry = NodeIn(entries_, to)) {
    entry->Receive(from, frame);
  }
  if (auto* agent = NodeIn(agents_, to)) {
    agent->Receive(from, frame);
  }
}

std::vector<NodeId> World::entries() const {
  std::vector<NodeId> nodes;
  for (const auto& [node, slot] : entries_) {
    nodes.push_back(node);
  }
  return nodes;
}

std::vector<NodeId> World::nodes() const {
  std::vector<NodeId> nodes = entries();
  for (const auto& [node, slot] : agents_) {
    nodes.push_back(node);
  }
  return nodes;
}

std::vector<NodeId> World::Resolve(const std::string& name) const {
  std::vector<NodeId> found;
  for (const auto& [node, slot] : entries_) {
    if (node.value() == name || slot.domain.value() == name) {
      found.push_back(node);
    }
  }
  for (const auto& [node, slot] : agents_) {
    if (node.value() == name || slot.settings.domain.value() == name) {
      found.push_back(node);
    }
  }
  return found;
}

void World::Kill(const NodeId& node) {
  if (!network_.alive(node)) {
    return;
  }
  verdict_.Note(node, "is killed");
  request_registry_.MarkDisturbed(node);
  network_.Kill(node);
  const auto entry = entries_.find(node);
  if (entry == entries_.end()) {
    agents_.at(node).node.reset();
    return;
  }
  entry->second.node.reset();
  if (Disk* disk = entry->second.disk.get()) {
    disk->Crash(network_.random().Below(disk->unsynced.size() + 1));
  }
}

void World::Restart(const NodeId& node) {
  if (network_.alive(node)) {
    return;
  }
  verdict_.Note(node, "starts");
  network_.Start(node);
  const auto entry = entries_.find(node);
  if (entry != entries_.end()) {
    EntrySlot& slot = entry->second;
    slot.node = std::make_unique<EntryNode>(
        network_, verdict_, checks_, request_registry_, settings_, node,
        slot.domain, slot.disk.get(),
        [this](OrderId order, const auto& outcome) {
          OrderDone(order, outcome);
        });
    slot.node->Start();
    return;
  }
  AgentSlot& slot = agents_.at(node);
  slot.node = std::make_unique<AgentNode>(network_, verdict_, checks_,
                                          request_registry_, slot.settings);
  slot.node->Start();
}

void World::LoseDisk(const NodeId& node) {
  Kill(node);
  const auto entry = entries_.find(node);
  if (entry != entries_.end() && entry->second.disk != nullptr) {
    verdict_.Note(node, "loses its disk");
    EmptyDisk(node, *entry->second.disk);
  }
}

void World::Freeze(const NodeId& node) {
  verdict_.Note(node, "freezes");
  request_registry_.MarkDisturbed(node);
  network_.Freeze(node);
}

void World::BeginPlannedStop(const NodeId& node) {
  if (auto* agent = NodeIn(agents_, node)) {
    verdict_.Note(node, "begins its planned stop");
    request_registry_.OnTargetStopping(TargetId(node.value()), network_.now());
    agent->BeginPlannedStop();
  }
}

void World::SubmitOrder(const std::string& operator_name,
                        const NodeId& entry,
                        const std::string& text) {
  const OrderId order(orders_.size());
  orders_.push_back({operator_name, false, std::nullopt});
  const auto statement = language::ParseStatement(text);
  const auto& change = std::get<language::ChangeStatement>(
      std::get<language::Statement>(statement));
  const CommandId fallback(operator_name + "-" +
                           std::to_string(order.value() + 1));
  config::Command command = language::ToCommand(
      change, fallback, config::OperatorId(operator_name), std::nullopt);
  commands_.push_back(command);
  if (!network_.alive(entry)) {
    OrderDone(order, std::nullopt);
    return;
  }
  // Through a timer of the entry, so that a frozen entry handles it only after
  // it is thawed.
  network_.After(entry, Duration{}, [this, entry, order, command] {
    entries_.at(entry).node->Order(order, command);
  });
}

void World::OrderDone(OrderId order,
                      const std::optional<config::Outcome>& outcome) {
  OrderState& state = orders_.at(order.value());
  state.ended = true;
  state.outcome = outcome;
  verdict_.Note(NodeId(state.operator_name), Describe(outcome));
  if (outcome.has_value()) {
    checks_.OnOrderAnswered(commands_.at(order.value()), *outcome);
  }
}

void World::Send(CallerRequest request, const NodeId& entry) {
  if (!network_.alive(entry)) {
    verdict_.Note(entry, "is down; the caller's request is not sent");
    return;
  }
  const bool is_frozen = network_.frozen(entry);
  const SendId send =
      request_registry_.Open(std::move(request), entry, network_.now());
  request_registry_.send(send).disturbed = is_frozen;
  network_.After(entry, Duration{},
                 [this, entry, send] { entries_.at(entry).node->Open(send); });
}

std::vector<NodeId> World::leaders() const {
  std::vector<NodeId> leaders;
  for (const auto& [node, slot] : entries_) {
    if (slot.node != nullptr && slot.node->leads()) {
      leaders.push_back(node);
    }
  }
  return leaders;
}

bool World::IsInForce(const NodeId& node, ConfigVersion version) const {
  if (const auto* entry = NodeIn(entries_, node)) {
    return entry->configuration().version() >= version;
  }
  const auto* agent = NodeIn(agents_, node);
  return agent != nullptr && agent->configuration().version() >= version;
}

bool World::Offers(const NodeId& entry, const TargetId& target) const {
  const auto* node = NodeIn(entries_, entry);
  return node != nullptr && node->requests().offers(target);
}

bool World::IsVoter(const NodeId& node) const {
  for (const NodeId& leader : leaders()) {
    const consensus::Membership& membership =
        NodeIn(entries_, leader)->replica()->log().membership();
    const auto& voters = membership.voters;
    return !membership.is_joint() &&
           std::any_of(voters.begin(), voters.end(),
                       [&](const auto& voter) { return voter.node == node; });
  }
  return false;
}

}  // namespace bilberryspool::scenario
