#include "auto/membership/fake_fleet.h"

#include "libs/base/overloaded.h"

namespace bilberryspool::membership {

FakeFleet::FakeFleet(int domains, int entries, int agents, std::uint64_t seed)
    : random_(seed) {
  for (int d = 0; d < domains; ++d) {
    for (int e = 0; e < entries; ++e) {
      domain_seeds_[Domain(d)].push_back(Entry(d, e));
      seeds_.push_back(Entry(d, e));
    }
  }
  for (const std::string& address : seeds_) {
    RestartEntry(address);
  }
  for (int d = 0; d < domains; ++d) {
    for (int a = 0; a < agents; ++a) {
      StartAgent(Agent(d, a), Agent(d, a), Domain(d));
    }
  }
}

std::string FakeFleet::Domain(int domain) {
  return "d" + std::to_string(domain);
}
std::string FakeFleet::Entry(int domain, int index) {
  return Domain(domain) + "/e" + std::to_string(index);
}
std::string FakeFleet::Agent(int domain, int index) {
  return Domain(domain) + "/t" + std::to_string(index);
}
std::string FakeFleet::DomainOf(const std::string& address) {
  return address.substr(0, address.find('/'));
}

void FakeFleet::StartAgent(const std::string& name,
                           const std::string& address,
                           const std::string& domain) {
  AnnouncerOptions options;
  options.description.target = TargetId(name);
  options.description.node = NodeId(address);
  options.description.domain = FailureDomain(domain);
  options.description.address = address;
  options.description.services = {ServiceId("drafter")};
  options.description.state = TargetState::kServing;
  options.description.slots = 4;
  options.description.claim.incarnation = Incarnation(++incarnations_);
  options.seeds = domain_seeds_[domain];
  agents_[address] = std::make_unique<Announcer>(options, random_.engine()());
  TickAgent(address, ++generations_[address]);
}

void FakeFleet::StopAgent(const std::string& address) {
  agents_.erase(address);
}

void FakeFleet::RestartEntry(const std::string& address) {
  DirectoryOptions options;
  options.self = {NodeId(address), FailureDomain(DomainOf(address)), address,
                  Incarnation(++incarnations_)};
  options.seeds = seeds_;
  entries_[address] = std::make_unique<Directory>(options, random_.engine()());
  TickEntry(address, ++generations_[address]);
}

void FakeFleet::SetState(const std::string& address, TargetState state) {
  ToAgent(address, StateChanged{state});
}

void FakeFleet::Schedule(TimePoint at, Delivery deliver) {
  queue_.emplace(at, std::move(deliver));
}

void FakeFleet::Send(const std::string& from,
                     const std::string& to,
                     Delivery deliver) {
  if (cuts_.contains({DomainOf(from), DomainOf(to)}) ||
      random_.Chance(faults.loss)) {
    return;
  }
  const int copies = random_.Chance(faults.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(now_ + random_.Between(faults.min_delay, faults.max_delay),
             deliver);
  }
}

void FakeFleet::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!queue_.empty() && queue_.begin()->first <= end) {
    now_ = std::max(now_, queue_.begin()->first);
    const Delivery deliver = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    deliver();
  }
  now_ = end;
}

bool FakeFleet::DeferIfFrozen(const std::string& address, Delivery again) {
  const TimePoint until = frozen_until_[address];
  if (now_ >= until) {
    return false;
  }
  Schedule(until, std::move(again));
  return true;
}

void FakeFleet::TickEntry(const std::string& address,
                          std::uint64_t generation) {
  if (!entries_.contains(address) || generations_[address] != generation ||
      DeferIfFrozen(address, [=, this] { TickEntry(address, generation); })) {
    return;
  }
  ToEntry(address, DirectoryTick{}, "");
  Schedule(now_ + Milliseconds(250),
           [=, this] { TickEntry(address, generation); });
}

void FakeFleet::TickAgent(const std::string& address,
                          std::uint64_t generation) {
  if (!agents_.contains(address) || generations_[address] != generation ||
      DeferIfFrozen(address, [=, this] { TickAgent(address, generation); })) {
    return;
  }
  ToAgent(address, LoadMeasured{{2, 1, 0.5, Milliseconds(30), {}}});
  ToAgent(address, AnnouncerTick{});
  Schedule(now_ + Milliseconds(250),
           [=, this] { TickAgent(address, generation); });
}

void FakeFleet::ToEntry(const std::string& entry,
                        const DirectoryEvent& event,
                        const std::string& from) {
  const auto found = entries_.find(entry);
  if (found == entries_.end() ||
      DeferIfFrozen(entry, [=, this] { ToEntry(entry, event, from); })) {
    return;
  }
  for (const DirectoryAction& action : found->second->Handle(event, now_)) {
    std::visit(Overloaded{[&](const ReplyToAgent& reply) {
                            const ReplyReceived received{entry, reply.reply};
                            Send(entry, from,
                                 [=, this] { ToAgent(from, received); });
                          },
                          [&](const SendToPeer& send) {
                            const PeerMessageReceived received{send.message};
                            const std::string to = send.address;
                            Send(entry, to,
                                 [=, this] { ToEntry(to, received, entry); });
                          },
                          [&](const ReportConflict& conflict) {
                            conflicts.push_back(conflict);
                          },
                          [&](const TargetChanged& changed) {
                            if (observer) {
                              observer(entry, changed);
                            }
                          },
                          [](const DomainChanged&) {}},
               action);
  }
}

void FakeFleet::ToAgent(const std::string& agent, const AnnouncerEvent& event) {
  const auto found = agents_.find(agent);
  if (found == agents_.end() ||
      DeferIfFrozen(agent, [=, this] { ToAgent(agent, event); })) {
    return;
  }
  for (const AnnouncerAction& action : found->second->Handle(event, now_)) {
    std::visit(
        Overloaded{
            [&](const SendAnnouncement& send) {
              const std::string to = send.entry;
              const AnnouncementReceived received{send.announcement};
              Send(agent, to, [=, this] { ToEntry(to, received, agent); });
            },
            [&](const SendHeartbeat& send) {
              const std::string to = send.entry;
              const HeartbeatReceived received{send.heartbeat};
              Send(agent, to, [=, this] { ToEntry(to, received, agent); });
            },
            [&](const IdentityLost&) { lost_identities.push_back(agent); }},
        action);
  }
}

std::vector<std::string> FakeFleet::entry_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, directory] : entries_) {
    addresses.push_back(address);
  }
  return addresses;
}

std::vector<std::string> FakeFleet::agent_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, announcer] : agents_) {
    addresses.push_back(address);
  }
  return addresses;
}

Liveness FakeFleet::LivenessAt(const std::string& entry,
                               const std::string& target) {
  const auto view = entries_.at(entry)->target(TargetId(target), now_);
  return view ? view->liveness : Liveness::kGone;
}

OfferReason FakeFleet::ReasonAt(const std::string& entry,
                                const std::string& target) {
  const auto view = entries_.at(entry)->target(TargetId(target), now_);
  return view ? view->reason : OfferReason::kGone;
}

}  // namespace bilberryspool::membership
