#include "libs/limits/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "libs/base/check.h"
#include "libs/limits/backoff.h"

namespace bilberryspool::limits {
namespace {

// Time constant of the average arrival rate of a service, in seconds.
constexpr double kArrivalAveraging = 2.0;
// Maximum factor of excess arrivals on a retry hint.
constexpr double kMaxExcess = 20.0;

}  // namespace

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoCapacity:
      return "no capacity";
    case RefusalReason::kRequestRate:
      return "request rate";
    case RefusalReason::kTokenBudget:
      return "token budget";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kQueueFull:
      return "queue full";
    case RefusalReason::kShed:
      return "shed";
  }
  return "unknown";
}

Admission::Admission(AdmissionOptions options, std::uint64_t seed)
    : options_(options), random_(seed), share_(options.share) {}

std::vector<AdmissionAction> Admission::Handle(const AdmissionEvent& event,
                                               TimePoint now) {
  Actions actions;
  RefuseExpired(now, actions);
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
  // The event may have queued a request that can't wait at all.
  RefuseExpired(now, actions);
  return actions;
}

std::optional<TimePoint> Admission::next_deadline() const {
  std::optional<TimePoint> next;
  for (const auto& [service, service_queue] : service_queues_) {
    const auto expired = service_queue.queue.next_expiry();
    if (expired.has_value()) {
      next = std::min(next.value_or(*expired), *expired);
    }
  }
  return next;
}

std::vector<WorkspaceDemand> Admission::AnnounceDemand(TimePoint now) {
  return share_.Announce(now);
}

void Admission::On(const RequestArrived& event,
                   TimePoint now,
                   Actions& actions) {
  BILBERRYSPOOL_INVARIANT(
      !running_.contains(event.id) && !queued_.contains(event.id),
      "an admission id is used once");
  share_.OnArrival(event.workspace, now);
  ServiceQueue& service_queue = ServiceQueueOf(event.service);
  CountArrival(service_queue, now);
  Account& account = AccountOf(event.workspace, now);
  const QueuedRequest request = MakeQueued(event, service_queue, now);
  const auto refusal = Check(event, request, service_queue, account, now);
  if (refusal.has_value()) {
    actions.emplace_back(*refusal);
    return;
  }
  if (account.limits.requests_per_second > 0.0) {
    account.requests.Charge(1.0, now);
  }
  if (account.limits.tokens_per_second > 0.0) {
    account.tokens.Charge(event.expected_tokens, now);
  }
  queued_.emplace(event.id, event.service);
  service_queue.queue.Push(request, account.limits.weight);
  AdmitQueued(event.service, now, actions);
  MakeRoom(request, service_queue, account.limits.weight, now, actions);
}

void Admission::CountArrival(ServiceQueue& service_queue, TimePoint now) {
  const double passed = ToSeconds(now - service_queue.last_arrival);
  service_queue.arrivals *= std::exp(-passed / kArrivalAveraging);
  service_queue.arrivals += 1.0 / kArrivalAveraging;
  service_queue.last_arrival = now;
}

QueuedRequest Admission::MakeQueued(const RequestArrived& event,
                                    const ServiceQueue& service_queue,
                                    TimePoint now) const {
  QueuedRequest request;
  request.id = event.id;
  request.workspace = event.workspace;
  request.priority = event.priority;
  request.deadline = event.deadline;
  request.run_time = service_queue.rate.RunTime(event.expected_tokens);
  request.tokens = event.expected_tokens;
  request.latest_start = event.deadline - request.run_time;
  if (event.priority != Priority::kBackground) {
    request.latest_start =
        std::min(request.latest_start, now + options_.max_queue_wait);
  }
  return request;
}

void Admission::On(const RequestFinished& event,
                   TimePoint now,
                   Actions& actions) {
  const auto found = running_.find(event.id);
  if (found == running_.end()) {
    return;
  }
  const Running ended = found->second;
  running_.erase(found);
  Release(ended);
  ServiceQueueOf(ended.service).rate.Observe(now - ended.since, event.tokens);
  Account& account = AccountOf(ended.workspace, now);
  if (account.limits.tokens_per_second > 0.0) {
    account.tokens.Charge(static_cast<double>(event.tokens) -
                              static_cast<double>(ended.expected_tokens),
                          now);
  }
  AdmitAllQueued(now, actions);
}

void Admission::On(const RequestAbandoned& event,
                   TimePoint now,
                   Actions& actions) {
  const auto queued = queued_.find(event.id);
  if (queued != queued_.end()) {
    ServiceQueueOf(queued->second).queue.Remove(event.id);
    queued_.erase(queued);
    return;
  }
  const auto running = running_.find(event.id);
  if (running != running_.end()) {
    const Running ended = running->second;
    running_.erase(running);
    Release(ended);
    AdmitAllQueued(now, actions);
  }
}

void Admission::On(const CapacityChanged& event,
                   TimePoint now,
                   Actions& actions) {
  ServiceQueueOf(event.service).capacity = event.concurrent;
  AdmitQueued(event.service, now, actions);
}

void Admission::On(const LimitsChanged& event,
                   TimePoint now,
                   Actions& actions) {
  std::unordered_map<Workspace, WorkspaceLimits> limits;
  for (const WorkspaceLimits& entry : event.limits) {
    limits.emplace(entry.workspace, entry);
    AccountOf(entry.workspace, now);
  }
  for (auto& [workspace, account] : accounts_) {
    const auto found = limits.find(workspace);
    SetLimits(
        account,
        found == limits.end() ? WorkspaceLimits{workspace} : found->second,
        now);
  }
  AdmitAllQueued(now, actions);
}

void Admission::SetLimits(Account& account,
                          const WorkspaceLimits& limits,
                          TimePoint now) {
  // A new limit starts with its full burst. A changed limit keeps its level;
  // otherwise every change of configuration would grant another burst.
  if (account.limits.requests_per_second <= 0.0) {
    account.requests =
        TokenBucket(limits.requests_per_second, limits.request_burst);
  }
  if (account.limits.tokens_per_second <= 0.0) {
    account.tokens = TokenBucket(limits.tokens_per_second, limits.token_burst);
  }
  account.limits = limits;
  Refresh(account, now);
}

void Admission::On(const PeerDemand& event, TimePoint now, Actions& actions) {
  share_.OnPeerDemand(event.peer, event.demands, now);
  AdmitAllQueued(now, actions);
}

void Admission::On(const PeerGone& event, TimePoint now, Actions& actions) {
  share_.ErasePeer(event.peer);
  AdmitAllQueued(now, actions);
}

void Admission::On(const Tick& /*event*/, TimePoint now, Actions& actions) {
  share_.Prune(now);
  AdmitAllQueued(now, actions);
}

void Admission::AdmitAllQueued(TimePoint now, Actions& actions) {
  for (const auto& [service, service_queue] : service_queues_) {
    AdmitQueued(service, now, actions);
  }
}

void Admission::AdmitQueued(const ServiceId& service,
                            TimePoint now,
                            Actions& actions) {
  ServiceQueue& service_queue = ServiceQueueOf(service);
  const auto may_run = [&](const Workspace& workspace) {
    const Account& account = accounts_.at(workspace);
    return static_cast<double>(account.running) < MaxRunning(account);
  };
  while (service_queue.running < service_queue.capacity) {
    const auto next = service_queue.queue.Pop(may_run);
    if (!next.has_value()) {
      return;
    }
    ++service_queue.running;
    ++accounts_.at(next->workspace).running;
    queued_.erase(next->id);
    running_.emplace(next->id,
                     Running{service, next->workspace, now, next->tokens});
    actions.emplace_back(Admit{next->id});
    BILBERRYSPOOL_INVARIANT(service_queue.running <= service_queue.capacity,
                            "no more requests are admitted than may run");
  }
}

void Admission::RefuseExpired(TimePoint now, Actions& actions) {
  for (auto& [service, service_queue] : service_queues_) {
    const Duration wait = RetryAfter(service_queue, ExpectedWait(service));
    while (true) {
      const auto expired = service_queue.queue.PopExpired(now);
      if (!expired.has_value()) {
        break;
      }
      queued_.erase(expired->id);
      actions.emplace_back(
          MakeRefusal(expired->id, RefusalReason::kDeadline, wait));
    }
  }
}

std::optional<Refuse> Admission::Check(const RequestArrived& event,
                                       const QueuedRequest& request,
                                       const ServiceQueue& service_queue,
                                       const Account& account,
                                       TimePoint now) {
  if (service_queue.capacity == 0) {
    return MakeRefusal(event.id, RefusalReason::kNoCapacity,
                       options_.no_capacity_retry);
  }
  if (account.limits.requests_per_second > 0.0) {
    const Duration wait = account.requests.WaitFor(1.0, now);
    if (wait > Duration(0)) {
      return MakeRefusal(event.id, RefusalReason::kRequestRate, wait);
    }
  }
  if (account.limits.tokens_per_second > 0.0) {
    const Duration wait = account.tokens.WaitFor(event.expected_tokens, now);
    if (wait > Duration(0)) {
      return MakeRefusal(event.id, RefusalReason::kTokenBudget, wait);
    }
  }
  return CheckDeadline(request, service_queue, account, now);
}

std::optional<Refuse> Admission::CheckDeadline(
    const QueuedRequest& request,
    const ServiceQueue& service_queue,
    const Account& account,
    TimePoint now) {
  // While no request runs, nothing can correct a run time that was estimated
  // too high, and the entry would refuse everything permanently.
  if (service_queue.running == 0 && request.deadline > now) {
    return std::nullopt;
  }
  const double capacity = std::min(static_cast<double>(service_queue.capacity),
                                   MaxRunning(account));
  const bool free = service_queue.queue.size() == 0 &&
                    service_queue.running < service_queue.capacity;
  const double ahead =
      service_queue.queue.RequestsAhead(request, account.limits.weight);
  const Duration wait =
      free ? Duration(0)
           : service_queue.rate.TimeToDrain(ahead + 1.0, capacity);
  if (now + wait <= request.latest_start) {
    return std::nullopt;
  }
  return MakeRefusal(request.id, RefusalReason::kDeadline,
                     RetryAfter(service_queue, wait));
}

Duration Admission::RetryAfter(const ServiceQueue& service_queue,
                               Duration wait) const {
  const double drained = static_cast<double>(service_queue.capacity) /
                         ToSeconds(service_queue.rate.RunTime(0));
  const double excess = service_queue.arrivals / std::max(drained, 0.01);
  const double factor = std::clamp(excess, 1.0, kMaxExcess);
  return Duration(
      static_cast<Duration::rep>(factor * static_cast<double>(wait.count())));
}

void Admission::MakeRoom(const QueuedRequest& request,
                         ServiceQueue& service_queue,
                         double weight,
                         TimePoint now,
                         Actions& actions) {
  if (service_queue.queue.size() <= options_.max_queued) {
    return;
  }
  const bool still_queued = queued_.contains(request.id);
  BILBERRYSPOOL_INVARIANT(still_queued,
                          "only a queued arrival can overfill the queue");
  service_queue.queue.Remove(request.id);
  const AdmissionId victim = service_queue.queue.Victim(request, weight);
  if (victim != request.id) {
    const auto shed = service_queue.queue.Remove(victim);
    Account& account = accounts_.at(shed->workspace);
    if (account.limits.tokens_per_second > 0.0) {
      account.tokens.Charge(-static_cast<double>(shed->tokens), now);
    }
    service_queue.queue.Push(request, weight);
  }
  queued_.erase(victim);
  const double behind = static_cast<double>(service_queue.queue.size());
  const Duration wait = service_queue.rate.TimeToDrain(
      behind,
      static_cast<double>(std::max<std::size_t>(1, service_queue.capacity)));
  const RefusalReason reason =
      victim == request.id ? RefusalReason::kQueueFull : RefusalReason::kShed;
  actions.emplace_back(
      MakeRefusal(victim, reason, RetryAfter(service_queue, wait)));
}

void Admission::Release(const Running& ended) {
  ServiceQueue& service_queue = ServiceQueueOf(ended.service);
  Account& account = accounts_.at(ended.workspace);
  BILBERRYSPOOL_INVARIANT(service_queue.running > 0 && account.running > 0,
                          "a finished request was running");
  --service_queue.running;
  --account.running;
}

Refuse Admission::MakeRefusal(AdmissionId id,
                              RefusalReason reason,
                              Duration wait) {
  const Duration base = std::max(wait, options_.min_retry_after);
  return Refuse{id, reason, AddJitter(base, random_)};
}

Admission::ServiceQueue& Admission::ServiceQueueOf(const ServiceId& service) {
  return service_queues_.try_emplace(service, options_.initial_run_time)
      .first->second;
}

Admission::Account& Admission::AccountOf(const Workspace& workspace,
                                         TimePoint now) {
  const auto [found, added] = accounts_.try_emplace(workspace);
  if (added) {
    found->second.limits.workspace = workspace;
  }
  Refresh(found->second, now);
  return found->second;
}

void Admission::Refresh(Account& account, TimePoint now) {
  const WorkspaceLimits& limits = account.limits;
  const double share = share_.Share(limits.workspace);
  account.requests.Configure(limits.requests_per_second * share,
                             std::max(1.0, limits.request_burst * share), now);
  account.tokens.Configure(limits.tokens_per_second * share,
                           std::max(1.0, limits.token_burst * share), now);
}

double Admission::MaxRunning(const Account& account) const {
  const double limit = account.limits.concurrent;
  if (limit <= 0.0) {
    return std::numeric_limits<double>::infinity();
  }
  return std::max(1.0, std::floor(limit * share(account.limits.workspace)));
}

std::size_t Admission::queued(const ServiceId& service) const {
  const auto found = service_queues_.find(service);
  return found == service_queues_.end() ? 0 : found->second.queue.size();
}

std::size_t Admission::running(const ServiceId& service) const {
  const auto found = service_queues_.find(service);
  return found == service_queues_.end() ? 0 : found->second.running;
}

std::size_t Admission::running(const Workspace& workspace) const {
  const auto found = accounts_.find(workspace);
  return found == accounts_.end() ? 0 : found->second.running;
}

double Admission::share(const Workspace& workspace) const {
  return share_.Share(workspace);
}

double Admission::entry_share(TimePoint now) const {
  return share_.EntryShare(now);
}

Duration Admission::ExpectedWait(const ServiceId& service) const {
  const auto found = service_queues_.find(service);
  if (found == service_queues_.end()) {
    return Duration(0);
  }
  const ServiceQueue& service_queue = found->second;
  if (service_queue.queue.size() == 0 &&
      service_queue.running < service_queue.capacity) {
    return Duration(0);
  }
  return service_queue.rate.TimeToDrain(
      static_cast<double>(service_queue.queue.size()) + 1.0,
      static_cast<double>(std::max<std::size_t>(1, service_queue.capacity)));
}

}  // namespace bilberryspool::limits
