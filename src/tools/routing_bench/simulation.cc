#include "tools/routing_bench/simulation.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>

namespace bilberryspool::routing_bench {
namespace {

constexpr Duration kReportInterval = Milliseconds(500);
constexpr Duration kGossipInterval = Milliseconds(500);
constexpr Duration kCapacityInterval = Milliseconds(200);
constexpr Duration kMinReportLag = Milliseconds(50);
constexpr Duration kMaxReportLag = Milliseconds(400);
constexpr Duration kIntraDomainDelay = Microseconds(100);
// The platform's balancer and membership detect an unresponsive member after
// this time.
constexpr Duration kDetectionDelay = Seconds(3);
constexpr Duration kLinkTimeout = Seconds(1);
// A caller resends when an entry hasn't accepted its try within this time.
constexpr Duration kCallerTimeout = Seconds(2);
constexpr std::uint32_t kMaxTries = 6;
constexpr std::uint32_t kMaxTriesIgnoringRetryAfter = 20;
constexpr double kSlowdown = 5.0;

}  // namespace

Simulation::Simulation(RunOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      workload_(options_.deployment,
                options_.trouble == Trouble::kDrift,
                options_.honour_share,
                options_.seed + 1) {
  BuildServers();
  BuildEntries();
}

void Simulation::BuildServers() {
  const Deployment& deployment = options_.deployment;
  for (const ServiceModel& service : deployment.services) {
    for (std::uint32_t i = 0; i < service.target_count; ++i) {
      Server server;
      server.view.target =
          TargetId(service.id.value() + "-" + std::to_string(i));
      server.view.domain = deployment.domains[i % deployment.domains.size()];
      server.view.services = {service.id};
      server.view.slots = service.slots;
      server.server = std::make_unique<BatchServer>(loop_, service);
      servers_.emplace(server.view.target, std::move(server));
    }
  }
}

void Simulation::BuildEntries() {
  const Deployment& deployment = options_.deployment;
  routing::ConfigChanged config;
  for (const ServiceModel& service : deployment.services) {
    config.placements.push_back(routing::Placement{service.id, true, {}});
  }
  for (std::size_t i = 0; i < deployment.domains.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      config.distances.push_back(
          routing::DomainDistance{deployment.domains[i], deployment.domains[j],
                                  deployment.domain_delay});
    }
  }
  removed_.assign(deployment.entries, false);
  for (std::size_t i = 0; i < deployment.entries; ++i) {
    entries_.push_back(std::make_unique<BenchEntry>(
        loop_, options_.deployment,
        deployment.domains[i % deployment.domains.size()], options_.entry,
        MakeCallbacks(i), options_.seed * 1000 + i * 10));
    entries_.back()->OnRoutingEvent(config);
    for (const auto& [target, server] : servers_) {
      entries_.back()->OnRoutingEvent(routing::TargetUpdated{server.view});
    }
    entries_.back()->RefreshCapacity();
  }
}

EntryCallbacks Simulation::MakeCallbacks(std::size_t entry) {
  const Duration delay = options_.deployment.client_delay;
  EntryCallbacks callbacks;
  callbacks.server = [this](const TargetId& target) -> BatchServer& {
    return *servers_.at(target).server;
  };
  callbacks.delay_to = [this, entry](const TargetId& target) {
    const bool is_same_domain =
        servers_.at(target).view.domain == entries_[entry]->domain();
    return is_same_domain ? kIntraDomainDelay
                          : options_.deployment.domain_delay;
  };
  callbacks.first_token = [this, delay](std::size_t index,
                                        std::uint64_t attempt) {
    if (IsCurrent(index, attempt) && !calls_[index].first_token_at) {
      calls_[index].first_token_at = loop_.now() + delay;
    }
  };
  callbacks.answered = [this, delay](std::size_t index, std::uint64_t attempt) {
    if (IsCurrent(index, attempt)) {
      calls_[index].answered_at = loop_.now() + delay;
      calls_[index].ended = true;
    }
  };
  callbacks.refused = [this, delay](std::size_t index, std::uint64_t attempt,
                                    Duration retry_after) {
    loop_.After(delay, [this, index, attempt, retry_after] {
      OnRefused(index, attempt, retry_after);
    });
  };
  callbacks.failed = [this](std::size_t index, std::uint64_t attempt) {
    if (IsCurrent(index, attempt)) {
      calls_[index].ended = true;
    }
  };
  return callbacks;
}

void Simulation::Run() {
  for (std::size_t i = 0; i < options_.deployment.services.size(); ++i) {
    ScheduleArrivals(i);
  }
  ReportLoads();
  ExchangeDemand();
  if (options_.trace) {
    Trace();
  }
  loop_.After(PhaseStart(1) - loop_.now(), [this] { StartTrouble(); });
  loop_.After(PhaseStart(2) - loop_.now(), [this] { EndTrouble(); });
  // The extra time lets the calls that were sent last reach their deadlines.
  loop_.RunUntil(PhaseStart(options_.phases.size()) + Seconds(25));
}

void Simulation::Trace() {
  const ServiceId& service = options_.deployment.services.front().id;
  std::size_t capacity = 0;
  std::size_t queued = 0;
  for (const auto& entry : entries_) {
    capacity += entry->Capacity(0);
    queued += entry->queued(0);
  }
  routing::LoadReport sum;
  for (const auto& [target, server] : servers_) {
    if (server.view.services.front() == service) {
      const routing::LoadReport load = server.server->load();
      sum.running += load.running;
      sum.queued += load.queued;
      sum.limit += load.limit;
    }
  }
  std::printf("t=%.0f entries: capacity %zu queued %zu; ",
              ToSeconds(loop_.now().time_since_epoch()), capacity, queued);
  std::printf("targets: running %u queued %u limit %u\n", sum.running,
              sum.queued, sum.limit);
  loop_.After(Seconds(5), [this] { Trace(); });
}

TimePoint Simulation::PhaseStart(std::size_t phase) const {
  TimePoint start = TimeAt(Seconds(1));
  for (std::size_t i = 0; i < phase && i < options_.phases.size(); ++i) {
    start += options_.phases[i].length;
  }
  return start;
}

double Simulation::LoadAt(TimePoint now) const {
  for (std::size_t i = 0; i < options_.phases.size(); ++i) {
    if (now < PhaseStart(i + 1)) {
      return options_.phases[i].load;
    }
  }
  return 0.0;
}

void Simulation::ScheduleArrivals(std::size_t service) {
  const double load = LoadAt(loop_.now());
  if (load <= 0.0) {
    return;
  }
  loop_.After(workload_.NextGap(service, load), [this, service] {
    calls_.push_back(workload_.Draw(service, loop_.now()));
    SendTry(calls_.size() - 1);
    ScheduleArrivals(service);
  });
}

void Simulation::SendTry(std::size_t index) {
  Call& call = calls_[index];
  ++call.tries;
  call.current_try = ++tries_;
  call.acknowledged = false;
  call.last_try_at = loop_.now();
  const std::uint64_t attempt = call.current_try;
  BenchEntry& entry = *entries_[DrawEntry()];
  loop_.After(options_.deployment.client_delay, [this, index, attempt, &entry] {
    entry.Deliver([this, index, attempt, &entry] {
      if (IsCurrent(index, attempt)) {
        calls_[index].acknowledged = true;
      }
      entry.AddRequest(index, attempt, calls_[index]);
    });
  });
  loop_.After(kCallerTimeout, [this, index, attempt] {
    const Call& silent = calls_[index];
    if (IsCurrent(index, attempt) && !silent.acknowledged &&
        loop_.now() < silent.deadline) {
      SendTry(index);
    }
  });
}

bool Simulation::IsCurrent(std::size_t index, std::uint64_t attempt) const {
  return !calls_[index].ended && calls_[index].current_try == attempt;
}

void Simulation::OnRefused(std::size_t index,
                           std::uint64_t attempt,
                           Duration retry_after) {
  if (!IsCurrent(index, attempt)) {
    return;
  }
  Call& call = calls_[index];
  ++call.refusals;
  const bool honours_retry_after_hint = call.honours_retry_after;
  const Duration wait =
      honours_retry_after_hint
          ? retry_after
          : random_.Between(Milliseconds(100), Milliseconds(300));
  const std::uint32_t max_tries =
      honours_retry_after_hint ? kMaxTries : kMaxTriesIgnoringRetryAfter;
  if (loop_.now() + wait >= call.deadline || call.tries >= max_tries) {
    call.ended = true;
    return;
  }
  loop_.After(wait, [this, index, attempt] {
    if (IsCurrent(index, attempt)) {
      SendTry(index);
    }
  });
}

std::size_t Simulation::DrawEntry() {
  while (true) {
    const std::size_t drawn = random_.Below(entries_.size());
    if (!removed_[drawn]) {
      return drawn;
    }
  }
}

void Simulation::ReportLoads() {
  for (const auto& [target, server] : servers_) {
    if (server.server->dead()) {
      continue;
    }
    routing::LoadReported event{target, server.server->load()};
    for (const auto& entry : entries_) {
      const Duration lag = random_.Between(kMinReportLag, kMaxReportLag);
      event.load.age = lag;
      loop_.After(lag, [entry = entry.get(), event] {
        entry->Deliver([entry, event] { entry->OnRoutingEvent(event); });
      });
    }
  }
  loop_.After(kReportInterval, [this] { ReportLoads(); });
}

void Simulation::ExchangeDemand() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i]->reachable()) {
      continue;
    }
    const limits::PeerDemand event{NodeId("e" + std::to_string(i)),
                                   entries_[i]->AnnounceDemand()};
    for (std::size_t j = 0; j < entries_.size(); ++j) {
      BenchEntry* peer = entries_[j].get();
      if (i != j) {
        loop_.After(options_.deployment.domain_delay, [peer, event] {
          peer->Deliver([peer, event] { peer->OnAdmissionEvent(event); });
        });
      }
    }
    loop_.After(kCapacityInterval, [entry = entries_[i].get()] {
      entry->Deliver([entry] { entry->RefreshCapacity(); });
    });
    entries_[i]->RefreshCapacity();
  }
  loop_.After(kGossipInterval, [this] { ExchangeDemand(); });
}

void Simulation::StartTrouble() {
  switch (options_.trouble) {
    case Trouble::kNone:
    case Trouble::kDrift:
      return;
    case Trouble::kSlowTarget:
      servers_.begin()->second.server->set_slowdown(kSlowdown);
      servers_.rbegin()->second.server->set_slowdown(kSlowdown);
      return;
    case Trouble::kFailingTarget:
      servers_.begin()->second.server->set_failing(true);
      servers_.rbegin()->second.server->set_failing(true);
      return;
    case Trouble::kLostDomain:
      LoseDomain();
      return;
    case Trouble::kFrozenEntry:
      entries_[0]->set_frozen(true);
      loop_.After(kDetectionDelay, [this] { removed_[0] = true; });
      return;
  }
}

void Simulation::EndTrouble() {
  servers_.begin()->second.server->set_slowdown(1.0);
  servers_.rbegin()->second.server->set_slowdown(1.0);
  servers_.begin()->second.server->set_failing(false);
  servers_.rbegin()->second.server->set_failing(false);
  if (options_.trouble == Trouble::kLostDomain) {
    RestoreDomain();
  }
  if (options_.trouble == Trouble::kFrozenEntry) {
    entries_[0]->set_frozen(false);
    removed_[0] = false;
  }
}

void Simulation::BroadcastRoutingEvent(const routing::RoutingEvent& event) {
  for (const auto& entry : entries_) {
    entry->Deliver(
        [entry = entry.get(), event] { entry->OnRoutingEvent(event); });
  }
}

void Simulation::LoseDomain() {
  const FailureDomain& lost = options_.deployment.domains.front();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->domain() == lost) {
      entries_[i]->set_dead(true);
      loop_.After(kDetectionDelay, [this, i] { removed_[i] = true; });
    }
  }
  for (const auto& [target, server] : servers_) {
    if (server.view.domain != lost) {
      continue;
    }
    server.server->set_dead(true);
    loop_.After(kLinkTimeout, [this, target = target] {
      for (const auto& entry : entries_) {
        entry->Deliver(
            [entry = entry.get(), target] { entry->OnLinkDown(target); });
      }
    });
    loop_.After(kDetectionDelay, [this, target = target] {
      BroadcastRoutingEvent(routing::TargetRemoved{target});
    });
  }
}

void Simulation::RestoreDomain() {
  const FailureDomain& lost = options_.deployment.domains.front();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->domain() == lost) {
      entries_[i]->set_dead(false);
      removed_[i] = false;
    }
  }
  for (const auto& [target, server] : servers_) {
    if (server.view.domain == lost) {
      server.server->set_dead(false);
      BroadcastRoutingEvent(routing::TargetUpdated{server.view});
    }
  }
}

}  // namespace bilberryspool::routing_bench
