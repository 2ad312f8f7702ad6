#include "tools/spread_bench/scenario.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/membership/membership_codec.h"
#include "libs/spread/spread_codec.h"

namespace bilberryspool::spread_bench {
namespace {

constexpr std::uint64_t kFirstIncarnation = 1764700000;  // of the first entry
// Maximum number of seed entries, in the own failure domain and of all.
constexpr std::size_t kSeedCount = 3;

}  // namespace

using membership::Announcement;
using membership::DirectoryOptions;

Scenario::Scenario(ScenarioOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {
  for (int i = 0; i < options_.entries; ++i) {
    AddEntry(i);
  }
  entry_count_ = nodes_.size();
  for (int i = 0; i < options_.agents; ++i) {
    AddAgent(i);
  }
  traffic_.resize(nodes_.size());
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    index_[nodes_[node].name] = node;
    ScheduleAt(now_ + random_.Between(Duration(0), Milliseconds(500)),
               [this, node] { Tick(node); });
  }
  HandleSpreaderEvent(0, spread::LeadershipChanged{true});
}

std::string Scenario::DomainName(int index) const {
  return "domain-" + std::to_string(index % options_.domains);
}

void Scenario::AddEntry(int index) {
  Node node;
  node.domain = FailureDomain(DomainName(index));
  node.name = node.domain.value() + "-e" + std::to_string(index);
  DirectoryOptions options;
  options.self = {
      NodeId(node.name), node.domain, node.name,
      Incarnation(kFirstIncarnation + static_cast<std::uint64_t>(index))};
  // As in the settings of a deployment: three entries of the own failure domain
  // and the first three of all.
  std::vector<std::string>& own = domain_seeds_[node.domain.value()];
  own.push_back(node.name);
  if (seeds_.size() < kSeedCount) {
    seeds_.push_back(node.name);
  }
  options.seeds = seeds_;
  options.seeds.insert(options.seeds.end(), own.begin(),
                       own.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(kSeedCount, own.size())));
  node.directory =
      std::make_unique<membership::Directory>(options, random_.engine()());
  AddSpreader(&node, index < options_.control ? spread::SpreaderRole::kControl
                                              : spread::SpreaderRole::kEntry);
  nodes_.push_back(std::move(node));
}

void Scenario::AddAgent(int index) {
  Node node;
  node.domain = FailureDomain(DomainName(index));
  node.name = node.domain.value() + "-t" + std::to_string(index);
  membership::AnnouncerOptions options;
  Announcement& description = options.description;
  description.target = TargetId(node.name);
  description.node = NodeId(node.name);
  description.domain = node.domain;
  description.address = "10.100.200.100:8000";
  description.services = {
      ServiceId("service-" + std::to_string(index % options_.services))};
  description.models = {"model-" + std::to_string(index % options_.services)};
  description.roles = {"decode"};
  description.slots = 64;
  description.state = membership::TargetState::kServing;
  description.claim.incarnation = Incarnation(1764700000);
  options.seeds = domain_seeds_[node.domain.value()];
  node.announcer =
      std::make_unique<membership::Announcer>(options, random_.engine()());
  AddSpreader(&node, spread::SpreaderRole::kAgent);
  nodes_.push_back(std::move(node));
}

void Scenario::AddSpreader(Node* node, spread::SpreaderRole role) {
  spread::SpreaderOptions options;
  options.self = NodeId(node->name);
  options.domain = node->domain;
  options.role = role;
  node->spreader =
      std::make_unique<spread::Spreader>(options, random_.engine()());
}

void Scenario::ScheduleAt(TimePoint at, std::function<void()> run) {
  queue_.push(Event{at, ++order_, std::move(run)});
}

void Scenario::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!queue_.empty() && queue_.top().at <= end) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

void Scenario::StartCounting() {
  counting_ = true;
  traffic_.assign(nodes_.size(), Traffic());
}

std::optional<Duration> Scenario::SpreadChange(Duration limit) {
  const spread::ConfigPoint next{accepted_.version.Next(), random_.engine()()};
  const spread::DeltaStep step{accepted_, next,
                               std::string(options_.delta_bytes, 'x')};
  accepted_ = next;
  const TimePoint start = now_;
  for (std::size_t i = 0; i < static_cast<std::size_t>(options_.control); ++i) {
    HandleSpreaderEvent(i, spread::StepAccepted{step});
  }
  while (now_ - start < limit) {
    Run(Milliseconds(1));
    bool reached_all_nodes = true;
    for (const Node& node : nodes_) {
      reached_all_nodes =
          reached_all_nodes && node.spreader->have() == accepted_;
    }
    if (reached_all_nodes) {
      return now_ - start;
    }
  }
  return std::nullopt;
}

std::size_t Scenario::targets_in_detail() const {
  return nodes_.front().directory->targets(now_).size();
}

std::size_t Scenario::live_entries() const {
  return nodes_.front().directory->live_entries(now_).size();
}

spread::Coverage Scenario::coverage() const {
  return nodes_.front().spreader->coverage(accepted_.version, now_);
}

void Scenario::Tick(std::size_t node) {
  Node& current_node = nodes_[node];
  if (now_ >= current_node.topology_due_at) {
    current_node.topology_due_at = now_ + Seconds(1);
    UpdateTopology(node);
  }
  if (current_node.directory) {
    HandleDirectoryEvent(node, membership::DirectoryTick{}, "");
  } else {
    const auto running = static_cast<std::uint32_t>(random_.Below(64));
    HandleAnnouncerEvent(node, membership::LoadMeasured{
                                   {running, 3, 0.5, Microseconds(34000), {}}});
    HandleAnnouncerEvent(node, membership::AnnouncerTick{});
  }
  HandleSpreaderEvent(node, spread::SpreaderTick{});
  ScheduleAt(now_ + Milliseconds(100), [this, node] { Tick(node); });
}

void Scenario::UpdateTopology(std::size_t node) {
  const Node& current_node = nodes_[node];
  spread::TopologyChanged topology;
  if (!current_node.directory) {
    if (!current_node.parent.empty()) {
      topology.parents.emplace_back(current_node.parent);
    }
    HandleSpreaderEvent(node, topology);
    return;
  }
  for (int d = 0; d < options_.domains; ++d) {
    const FailureDomain domain(DomainName(d));
    for (const auto& entry : current_node.directory->contacts(domain, now_)) {
      topology.entries[domain].push_back(entry.node);
    }
  }
  for (const auto& view : current_node.directory->targets(now_)) {
    if (view.direct) {
      topology.agents.push_back(view.announcement->node);
    }
  }
  for (std::size_t i = 0; i < static_cast<std::size_t>(options_.control); ++i) {
    topology.control.emplace_back(nodes_[i].name);
  }
  HandleSpreaderEvent(node, topology);
}

template <typename Machine, typename MachineEvent>
auto Scenario::HandleTimed(std::size_t node,
                           Machine* machine,
                           const MachineEvent& event) {
  const auto start = std::chrono::steady_clock::now();
  auto actions = machine->Handle(event, now_);
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  ++traffic_[node].events;
  traffic_[node].processor_seconds += elapsed.count();
  return actions;
}

template <typename Message>
std::size_t Scenario::JsonSizeOf(const Message& message) const {
  return counting_ ? boost::json::serialize(ToJson(message)).size() : 0;
}

void Scenario::Deliver(std::size_t from,
                       const std::string& to,
                       std::size_t bytes,
                       bool membership,
                       std::function<void(std::size_t)> run) {
  const auto found = index_.find(to);
  if (found == index_.end()) {
    return;
  }
  const std::size_t receiver = found->second;
  for (const std::size_t end : {from, receiver}) {
    ++traffic_[end].messages;
    (membership ? traffic_[end].membership_bytes
                : traffic_[end].spread_bytes) += bytes;
  }
  if (random_.Chance(options_.loss)) {
    return;
  }
  ScheduleAt(now_ + random_.Between(options_.min_delay, options_.max_delay),
             [receiver, run = std::move(run)] { run(receiver); });
}

void Scenario::HandleDirectoryEvent(std::size_t node,
                                    const membership::DirectoryEvent& event,
                                    const std::string& from) {
  const std::string& name = nodes_[node].name;
  for (const auto& action :
       HandleTimed(node, nodes_[node].directory.get(), event)) {
    if (const auto* reply = std::get_if<membership::ReplyToAgent>(&action)) {
      Deliver(node, from, JsonSizeOf(reply->reply), true,
              [this, received = membership::ReplyReceived{name, reply->reply}](
                  std::size_t to) { HandleAnnouncerEvent(to, received); });
    }
    if (const auto* send = std::get_if<membership::SendToPeer>(&action)) {
      Deliver(
          node, send->address, JsonSizeOf(send->message), true,
          [this, name,
           received = membership::PeerMessageReceived{send->message}](
              std::size_t to) { HandleDirectoryEvent(to, received, name); });
    }
  }
}

void Scenario::HandleAnnouncerEvent(std::size_t node,
                                    const membership::AnnouncerEvent& event) {
  const std::string& name = nodes_[node].name;
  for (const auto& action :
       HandleTimed(node, nodes_[node].announcer.get(), event)) {
    if (const auto* send = std::get_if<membership::SendAnnouncement>(&action)) {
      Deliver(
          node, send->entry, JsonSizeOf(send->announcement), true,
          [this, name,
           received = membership::AnnouncementReceived{send->announcement}](
              std::size_t to) { HandleDirectoryEvent(to, received, name); });
    }
    if (const auto* send = std::get_if<membership::SendHeartbeat>(&action)) {
      nodes_[node].parent = send->entry;
      Deliver(
          node, send->entry, JsonSizeOf(send->heartbeat), true,
          [this, name,
           received = membership::HeartbeatReceived{send->heartbeat}](
              std::size_t to) { HandleDirectoryEvent(to, received, name); });
    }
  }
}

void Scenario::HandleSpreaderEvent(std::size_t node,
                                   const spread::SpreaderEvent& event) {
  for (const auto& action :
       HandleTimed(node, nodes_[node].spreader.get(), event)) {
    Execute(node, action);
  }
}

void Scenario::Execute(std::size_t node, const spread::SpreaderAction& action) {
  const auto send = [&](const NodeId& to, const auto& message, auto event) {
    Deliver(
        node, to.value(), JsonSizeOf(message), false,
        [this, event = spread::SpreaderEvent(std::move(event))](
            std::size_t receiver) { HandleSpreaderEvent(receiver, event); });
  };
  std::visit(
      Overloaded{
          [&](const spread::SendDelta& out) {
            send(out.to, out.message, spread::DeltaReceived{out.message});
          },
          [&](const spread::SendFull& out) {
            spread::FullMessage message = out.message;
            message.at = nodes_[node].spreader->have();
            send(out.to, message, spread::FullReceived{message});
          },
          [&](const spread::SendHave& out) {
            send(out.to, out.message, spread::HaveReceived{out.message});
          },
          [&](const spread::ApplySteps& apply) {
            HandleSpreaderEvent(node, spread::Applied{apply.steps.back().to});
          },
          [&](const spread::ApplyFull& apply) {
            HandleSpreaderEvent(node, spread::Applied{apply.at});
          },
          [](const spread::ReportDivergence&) {}},
      action);
}

}  // namespace bilberryspool::spread_bench
