#include "auto/spread/fake_nodes.h"

#include <algorithm>

#include "libs/base/overloaded.h"

namespace bilberryspool::spread {
namespace {

std::string Name(int domain, const char* kind, int index) {
  return "d" + std::to_string(domain) + "/" + kind + std::to_string(index);
}

ConfigPoint PointOf(std::uint64_t version) {
  return {ConfigVersion(version), version * 1000003};
}

}  // namespace

FakeNodes::FakeNodes(int domains, int entries, int agents, std::uint64_t seed)
    : domains_(domains), entries_(entries), agents_(agents), random_(seed) {
  for (int d = 0; d < domains; ++d) {
    for (int e = 0; e < entries; ++e) {
      names_.push_back(Name(d, "e", e));
    }
    for (int a = 0; a < agents; ++a) {
      names_.push_back(Name(d, "t", a));
    }
  }
  for (const std::string& name : names_) {
    Restart(name);
  }
}

std::string FakeNodes::DomainOf(const std::string& name) {
  return name.substr(0, name.find('/'));
}

SpreaderRole FakeNodes::RoleOf(const std::string& name) const {
  if (name.ends_with("/e0")) {
    return SpreaderRole::kControl;
  }
  return name.find("/e") != std::string::npos ? SpreaderRole::kEntry
                                              : SpreaderRole::kAgent;
}

TopologyChanged FakeNodes::TopologyOf(const std::string& name) const {
  TopologyChanged topology;
  if (RoleOf(name) == SpreaderRole::kAgent) {
    for (int e = 0; e < entries_; ++e) {
      topology.parents.emplace_back(DomainOf(name) + "/e" + std::to_string(e));
    }
    return topology;
  }
  for (int d = 0; d < domains_; ++d) {
    for (int e = 0; e < entries_; ++e) {
      topology.entries[FailureDomain("d" + std::to_string(d))].emplace_back(
          Name(d, "e", e));
    }
    topology.control.emplace_back(Name(d, "e", 0));
  }
  for (int a = 0; a < agents_; ++a) {
    if (name.ends_with("/e" + std::to_string(a % entries_))) {
      topology.agents.emplace_back(DomainOf(name) + "/t" + std::to_string(a));
    }
  }
  return topology;
}

void FakeNodes::Restart(const std::string& name) {
  SpreaderOptions options;
  options.self = NodeId(name);
  options.domain = FailureDomain(DomainOf(name));
  options.role = RoleOf(name);
  nodes_[name] = std::make_unique<Spreader>(options, random_.engine()());
  if (options.role != SpreaderRole::kControl) {
    in_force_[name] = ConfigPoint();
  } else if (in_force_[name].version != ConfigVersion()) {
    Handle(name, StateAdopted{in_force_[name]});  // from its disk
  }
  Handle(name, TopologyChanged(TopologyOf(name)));
  if (name == leader()) {
    Handle(name, LeadershipChanged{true});
  }
  Tick(name, ++generations_[name]);
}

void FakeNodes::Accept() {
  const ConfigPoint next = PointOf(accepted_.version.value() + 1);
  const DeltaStep step{accepted_, next, "delta"};
  accepted_ = next;
  for (int d = 0; d < domains_; ++d) {
    const std::string name = Name(d, "e", 0);
    if (!IsReachedByLeader(name)) {
      continue;  // catches up at a later tick, see CatchUp()
    }
    in_force_[name] = next;
    Handle(name, StepAccepted{step});
  }
}

bool FakeNodes::IsReachedByLeader(const std::string& name) const {
  const auto frozen = frozen_until_.find(name);
  const bool is_frozen = frozen != frozen_until_.end() && frozen->second > now_;
  return nodes_.contains(name) && !is_frozen &&
         !cuts_.contains({DomainOf(leader()), DomainOf(name)});
}

void FakeNodes::CatchUp(const std::string& name) {
  if (RoleOf(name) == SpreaderRole::kControl && IsReachedByLeader(name) &&
      in_force_[name] != accepted_) {
    in_force_[name] = accepted_;
    Handle(name, StateAdopted{accepted_});
  }
}

void FakeNodes::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!queue_.empty() && queue_.begin()->first <= end) {
    now_ = std::max(now_, queue_.begin()->first);
    const Delivery deliver = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    deliver();
  }
  now_ = end;
}

void FakeNodes::Tick(const std::string& name, std::uint64_t generation) {
  if (!nodes_.contains(name) || generations_[name] != generation) {
    return;
  }
  CatchUp(name);
  Handle(name, SpreaderTick{});
  queue_.emplace(now_ + Milliseconds(100),
                 [=, this] { Tick(name, generation); });
}

void FakeNodes::Send(const std::string& from,
                     const NodeId& to,
                     SpreaderEvent event) {
  ++messages;
  const std::string& name = to.value();
  if (cuts_.contains({DomainOf(from), DomainOf(name)}) ||
      random_.Chance(faults.loss)) {
    return;
  }
  const int copies = random_.Chance(faults.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    queue_.emplace(now_ + random_.Between(Microseconds(200), faults.max_delay),
                   [=, this] { Handle(name, event); });
  }
}

void FakeNodes::Handle(const std::string& name, const SpreaderEvent& event) {
  if (!nodes_.contains(name)) {
    return;
  }
  if (frozen_until_[name] > now_) {
    queue_.emplace(frozen_until_[name], [=, this] { Handle(name, event); });
    return;
  }
  for (const SpreaderAction& action : nodes_.at(name)->Handle(event, now_)) {
    Execute(name, action);
  }
}

void FakeNodes::Execute(const std::string& name, const SpreaderAction& action) {
  std::visit(Overloaded{[&](const SendDelta& send) {
                          Send(name, send.to, DeltaReceived{send.message});
                        },
                        [&](const SendFull& send) {
                          FullReceived full{send.message};
                          full.message.at = in_force_[name];
                          ++full_states;
                          Send(name, send.to, std::move(full));
                        },
                        [&](const SendHave& send) {
                          Send(name, send.to, HaveReceived{send.message});
                        },
                        [&](const ApplySteps& apply) {
                          Finish(name, apply.steps.front().from,
                                 apply.steps.back().to);
                        },
                        [&](const ApplyFull& apply) {
                          Finish(name, in_force_[name], apply.at);
                        },
                        [&](const ReportDivergence&) { ++divergences; }},
             action);
}

void FakeNodes::Finish(const std::string& name,
                       const ConfigPoint& from,
                       const ConfigPoint& to) {
  if (from != in_force_[name] || corrupt_next_at == name) {
    corrupt_next_at.clear();
    Handle(name, ApplyFailed{});
    return;
  }
  version_decreased =
      version_decreased || to.version <= in_force_[name].version;
  in_force_[name] = to;
  Handle(name, Applied{to});
}

std::vector<std::string> FakeNodes::Lagging() const {
  std::vector<std::string> lagging;
  for (const auto& [name, node] : nodes_) {
    if (node->have() != accepted_) {
      lagging.push_back(name);
    }
  }
  return lagging;
}

}  // namespace bilberryspool::spread
