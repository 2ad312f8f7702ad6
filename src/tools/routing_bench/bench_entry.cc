#include "tools/routing_bench/bench_entry.h"

#include <string>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/limits/backoff.h"

namespace bilberryspool::routing_bench {
namespace {

constexpr std::size_t kUnlimited = 1'000'000;
constexpr std::uint32_t kMaxRetries = 3;
// An entry detects that a link is broken after this time.
constexpr Duration kLinkTimeout = Seconds(1);

}  // namespace

BenchEntry::BenchEntry(EventLoop& loop,
                       const Deployment& deployment,
                       FailureDomain domain,
                       BenchEntryOptions options,
                       EntryCallbacks callbacks,
                       std::uint64_t seed)
    : loop_(loop),
      deployment_(deployment),
      domain_(std::move(domain)),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      random_(seed),
      router_(options_.router, seed + 1),
      admission_(options_.admission, seed + 2),
      retry_budget_(limits::RetryBudgetOptions{}) {}

void BenchEntry::Deliver(EventLoop::Callback event) {
  if (dead_) {
    return;
  }
  if (frozen_) {
    deferred_.push_back(std::move(event));
    return;
  }
  event();
}

void BenchEntry::set_frozen(bool frozen) {
  frozen_ = frozen;
  while (!frozen_ && !deferred_.empty()) {
    const EventLoop::Callback event = std::move(deferred_.front());
    deferred_.pop_front();
    event();
  }
}

Workspace BenchEntry::WorkspaceOf(const Call& call) const {
  return Workspace("w" + std::to_string(call.workspace));
}

void BenchEntry::AddRequest(std::size_t index,
                            std::uint64_t attempt,
                            const Call& call) {
  const limits::AdmissionId id(++ids_);
  requests_.emplace(id, Request{index, attempt, call});
  retry_budget_.OnFirstAttempt(WorkspaceOf(call), loop_.now());
  const Duration left = call.deadline - loop_.now();
  loop_.After(std::max(Duration(0), left),
              [this, id] { Deliver([this, id] { OnDeadline(id); }); });
  if (!options_.limited) {
    StartAttempt(id);
    return;
  }
  Execute(admission_.Handle(
      limits::RequestArrived{id, deployment_.services[call.service].id,
                             WorkspaceOf(call), call.priority, call.deadline,
                             call.tokens},
      loop_.now()));
}

void BenchEntry::OnRoutingEvent(const routing::RoutingEvent& event) {
  router_.Handle(event, loop_.now());
}

void BenchEntry::OnAdmissionEvent(const limits::AdmissionEvent& event) {
  Execute(admission_.Handle(event, loop_.now()));
}

std::vector<limits::WorkspaceDemand> BenchEntry::AnnounceDemand() {
  return admission_.AnnounceDemand(loop_.now());
}

void BenchEntry::RefreshCapacity() {
  for (std::size_t i = 0; i < deployment_.services.size(); ++i) {
    const limits::CapacityChanged event{deployment_.services[i].id,
                                        Capacity(i)};
    Execute(admission_.Handle(event, loop_.now()));
  }
}

std::size_t BenchEntry::Capacity(std::size_t service) const {
  if (!options_.limited) {
    return kUnlimited;
  }
  return router_.Capacity(deployment_.services[service].id,
                          admission_.entry_share(loop_.now()), loop_.now());
}

std::size_t BenchEntry::queued(std::size_t service) const {
  return admission_.queued(deployment_.services[service].id);
}

void BenchEntry::OnLinkDown(const TargetId& target) {
  std::vector<std::pair<limits::AdmissionId, AttemptId>> lost;
  for (const auto& [id, request] : requests_) {
    if (request.attempt.has_value() && request.target == target) {
      lost.emplace_back(id, *request.attempt);
    }
  }
  for (const auto& [id, attempt] : lost) {
    OnEnd(id, attempt, routing::AttemptOutcome::kDisconnected);
  }
}

void BenchEntry::Execute(const std::vector<limits::AdmissionAction>& actions) {
  for (const limits::AdmissionAction& action : actions) {
    std::visit(
        Overloaded{[&](const limits::Admit& admit) { StartAttempt(admit.id); },
                   [&](const limits::Refuse& refuse) {
                     const Request request = requests_.at(refuse.id);
                     requests_.erase(refuse.id);
                     callbacks_.refused(request.index, request.client_try,
                                        refuse.retry_after);
                   }},
        action);
  }
  ScheduleTick();
}

void BenchEntry::StartAttempt(limits::AdmissionId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request& request = found->second;
  routing::RouteRequest route;
  route.service = deployment_.services[request.call.service].id;
  route.workspace = WorkspaceOf(request.call);
  route.priority = request.call.priority;
  route.prefix_hashes = request.call.prefixes;
  route.expected_tokens = request.call.tokens;
  route.excluded = request.tried_targets;
  route.deadline = request.call.deadline;
  route.own_domain = domain_;
  route.idempotent = request.call.idempotent;
  const routing::Choice choice = router_.Choose(route, loop_.now());
  std::visit(Overloaded{[&](const routing::Selected& selected) {
                          Send(id, selected.target);
                        },
                        [&](const routing::NoTarget& refusal) {
                          const Request copy = request;
                          Drop(id);
                          callbacks_.refused(copy.index, copy.client_try,
                                             refusal.retry_after);
                        }},
             choice);
}

void BenchEntry::Send(limits::AdmissionId id, const TargetId& target) {
  Request& request = requests_.at(id);
  const AttemptId attempt(std::to_string(random_.engine()()));
  request.attempt = attempt;
  request.target = target;
  router_.Handle(
      routing::AttemptStarted{attempt, target,
                              deployment_.services[request.call.service].id,
                              request.call.prefixes},
      loop_.now());
  if (callbacks_.server(target).dead()) {
    loop_.After(kLinkTimeout, [this, id, attempt] {
      Deliver([this, id, attempt] {
        OnEnd(id, attempt, routing::AttemptOutcome::kDisconnected);
      });
    });
    return;
  }
  const Duration delay = callbacks_.delay_to(target);
  Job job{attempt, request.call.tokens, request.call.prefixes};
  job.on_first_token = [this, id, attempt, delay] {
    loop_.After(delay, [this, id, attempt] {
      Deliver([this, id, attempt] { OnFirstToken(id, attempt); });
    });
  };
  job.on_end = [this, id, attempt, delay](routing::AttemptOutcome outcome) {
    loop_.After(delay, [this, id, attempt, outcome] {
      Deliver([this, id, attempt, outcome] { OnEnd(id, attempt, outcome); });
    });
  };
  loop_.After(delay, [this, target, job = std::move(job)] {
    callbacks_.server(target).Submit(job);
  });
}

void BenchEntry::OnFirstToken(limits::AdmissionId id,
                              const AttemptId& attempt) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempt != attempt) {
    return;
  }
  found->second.started = true;
  router_.Handle(routing::FirstToken{attempt}, loop_.now());
  callbacks_.first_token(found->second.index, found->second.client_try);
}

void BenchEntry::OnEnd(limits::AdmissionId id,
                       const AttemptId& attempt,
                       routing::AttemptOutcome outcome) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.attempt != attempt) {
    return;
  }
  Request& request = found->second;
  request.attempt.reset();
  routing::AttemptFinished finished{attempt, outcome, std::nullopt};
  if (!callbacks_.server(request.target).dead()) {
    finished.load = callbacks_.server(request.target).load();
  }
  router_.Handle(finished, loop_.now());
  if (outcome == routing::AttemptOutcome::kSucceeded) {
    const Request copy = request;
    requests_.erase(found);
    callbacks_.answered(copy.index, copy.client_try);
    Execute(admission_.Handle(limits::RequestFinished{id, copy.call.tokens},
                              loop_.now()));
    return;
  }
  if (MayRetry(request, outcome)) {
    request.tried_targets.push_back(request.target);
    const Duration delay = limits::BackoffDelay(limits::BackoffOptions{},
                                                request.retries++, random_);
    loop_.After(delay,
                [this, id] { Deliver([this, id] { StartAttempt(id); }); });
    return;
  }
  const Request copy = request;
  Drop(id);
  if (outcome == routing::AttemptOutcome::kRefusedBusy) {
    callbacks_.refused(copy.index, copy.client_try, Seconds(1));
  } else {
    callbacks_.failed(copy.index, copy.client_try);
  }
}

bool BenchEntry::MayRetry(const Request& request,
                          routing::AttemptOutcome outcome) {
  const bool not_run = outcome == routing::AttemptOutcome::kRefusedBusy;
  if (request.started || request.retries >= kMaxRetries) {
    return false;
  }
  if (!request.call.idempotent && !not_run) {
    return false;
  }
  return !options_.limited ||
         retry_budget_.TryRetry(WorkspaceOf(request.call), loop_.now());
}

void BenchEntry::OnDeadline(limits::AdmissionId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request request = found->second;
  if (request.attempt.has_value()) {
    const auto outcome = request.started ? routing::AttemptOutcome::kCancelled
                                         : routing::AttemptOutcome::kTimedOut;
    router_.Handle(
        routing::AttemptFinished{*request.attempt, outcome, std::nullopt},
        loop_.now());
    callbacks_.server(request.target).Cancel(*request.attempt);
  }
  Drop(id);
  callbacks_.failed(request.index, request.client_try);
}

void BenchEntry::Drop(limits::AdmissionId id) {
  requests_.erase(id);
  Execute(admission_.Handle(limits::RequestAbandoned{id}, loop_.now()));
}

void BenchEntry::ScheduleTick() {
  const auto next = admission_.next_deadline();
  if (!next.has_value() || (next_tick_ > loop_.now() && next_tick_ <= *next)) {
    return;
  }
  next_tick_ = *next;
  loop_.After(std::max(Duration(1), *next - loop_.now()), [this] {
    Deliver(
        [this] { Execute(admission_.Handle(limits::Tick{}, loop_.now())); });
  });
}

}  // namespace bilberryspool::routing_bench
