#include "libs/limits/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "libs/base/check.h"

namespace bilberryspool::limits {
namespace {

constexpr double kMinWeight = 1e-3;
constexpr std::size_t kMaxFinishes = 256;

bool IsBackground(const QueuedRequest& request) {
  return request.priority == Priority::kBackground;
}

}  // namespace

bool FairQueue::Order::operator()(const QueuedRequest& left,
                                  const QueuedRequest& right) const {
  // The first element of the set runs first, so the priorities are swapped.
  return std::tie(right.priority, left.deadline, left.id) <
         std::tie(left.priority, right.deadline, right.id);
}

void FairQueue::Push(const QueuedRequest& request, double weight) {
  WorkspaceQueue& queue = workspace_queues_[request.workspace];
  queue.weight = std::max(weight, kMinWeight);
  queue.requests.insert(request);
  by_latest_start_.emplace(request.latest_start, request.id);
  const bool added = requests_.emplace(request.id, request).second;
  BILBERRYSPOOL_INVARIANT(added, "an admission id is queued once");
}

std::optional<QueuedRequest> FairQueue::Pop(const MayRun& may_run) {
  const QueuedRequest* next = nullptr;
  double next_start = 0.0;
  for (const auto& [workspace, queue] : workspace_queues_) {
    const QueuedRequest& first = *queue.requests.begin();
    const double start = StartOf(workspace);
    if (next != nullptr &&
        std::make_pair(IsBackground(first), start) >=
            std::make_pair(IsBackground(*next), next_start)) {
      continue;
    }
    if (!may_run(workspace)) {
      continue;
    }
    next = &first;
    next_start = start;
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  const QueuedRequest popped = *next;
  const double weight = workspace_queues_.at(popped.workspace).weight;
  virtual_time_ = std::max(virtual_time_, next_start);
  virtual_finishes_[popped.workspace] =
      next_start + ToSeconds(popped.run_time) / weight;
  Erase(popped);
  PruneFinishes();
  return popped;
}

std::optional<QueuedRequest> FairQueue::Remove(AdmissionId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return std::nullopt;
  }
  const QueuedRequest removed = found->second;
  Erase(removed);
  return removed;
}

std::optional<QueuedRequest> FairQueue::PopExpired(TimePoint now) {
  if (by_latest_start_.empty() || by_latest_start_.begin()->first >= now) {
    return std::nullopt;
  }
  return Remove(by_latest_start_.begin()->second);
}

std::optional<TimePoint> FairQueue::next_expiry() const {
  if (by_latest_start_.empty()) {
    return std::nullopt;
  }
  return by_latest_start_.begin()->first + Duration(1);
}

AdmissionId FairQueue::Victim(const QueuedRequest& incoming,
                              double weight) const {
  // Rank of a candidate: whether it is background work, then the queue length
  // relative to the weight. The incoming request counts as queued.
  using Rank = std::pair<bool, double>;
  const auto rank_of = [&](const QueuedRequest& last, std::size_t queued,
                           double queue_weight) {
    return Rank(IsBackground(last), static_cast<double>(queued) / queue_weight);
  };
  const double own_weight = std::max(weight, kMinWeight);
  const QueuedRequest* victim = &incoming;
  Rank highest = rank_of(incoming, SizeOf(incoming.workspace) + 1, own_weight);
  for (const auto& [workspace, queue] : workspace_queues_) {
    const bool own = workspace == incoming.workspace;
    const QueuedRequest& last = *queue.requests.rbegin();
    const QueuedRequest& least =
        own && Order()(last, incoming) ? incoming : last;
    const Rank rank =
        rank_of(least, queue.requests.size() + (own ? 1 : 0), queue.weight);
    if (rank > highest || (own && victim == &incoming)) {
      highest = rank;
      victim = &least;
    }
  }
  return victim->id;
}

double FairQueue::RequestsAhead(const QueuedRequest& incoming,
                                double weight) const {
  const Turn turn = TurnOf(incoming, weight);
  double ahead = turn.own_ahead;
  for (const auto& [workspace, queue] : workspace_queues_) {
    if (workspace == incoming.workspace) {
      continue;
    }
    const bool other_background = IsBackground(*queue.requests.begin());
    if (IsBackground(incoming) != other_background) {
      // All other work runs before background work.
      ahead += other_background ? 0.0 : RequestCount(queue);
      continue;
    }
    const double lead = turn.start - StartOf(workspace);
    if (lead < 0.0) {
      continue;
    }
    const double cost =
        ToSeconds(queue.requests.begin()->run_time) / queue.weight;
    ahead += std::min(RequestCount(queue), std::floor(lead / cost) + 1.0);
  }
  return ahead;
}

FairQueue::Turn FairQueue::TurnOf(const QueuedRequest& incoming,
                                  double weight) const {
  Turn turn;
  turn.start = StartOf(incoming.workspace);
  const auto own = workspace_queues_.find(incoming.workspace);
  if (own == workspace_queues_.end()) {
    return turn;
  }
  for (const QueuedRequest& request : own->second.requests) {
    if (Order()(incoming, request)) {
      break;
    }
    turn.own_ahead += 1.0;
    turn.start += ToSeconds(request.run_time) / std::max(weight, kMinWeight);
  }
  return turn;
}

double FairQueue::RequestCount(const WorkspaceQueue& queue) {
  return static_cast<double>(queue.requests.size());
}

std::size_t FairQueue::SizeOf(const Workspace& workspace) const {
  const auto found = workspace_queues_.find(workspace);
  return found == workspace_queues_.end() ? 0 : found->second.requests.size();
}

double FairQueue::StartOf(const Workspace& workspace) const {
#if defined(BILBERRYSPOOL_MUTATION_QUEUE_WITHOUT_FAIRNESS)
  return virtual_time_;
#endif
  const auto found = virtual_finishes_.find(workspace);
  return found == virtual_finishes_.end()
             ? virtual_time_
             : std::max(virtual_time_, found->second);
}

void FairQueue::Erase(const QueuedRequest& request) {
  // `request` may be a reference into one of the containers.
  const QueuedRequest copy = request;
  const auto queue = workspace_queues_.find(copy.workspace);
  queue->second.requests.erase(copy);
  if (queue->second.requests.empty()) {
    workspace_queues_.erase(queue);
  }
  by_latest_start_.erase({copy.latest_start, copy.id});
  requests_.erase(copy.id);
  BILBERRYSPOOL_INVARIANT(requests_.size() == by_latest_start_.size(),
                          "the indexes of the queue agree");
}

void FairQueue::PruneFinishes() {
  if (virtual_finishes_.size() <= kMaxFinishes) {
    return;
  }
  for (auto it = virtual_finishes_.begin(); it != virtual_finishes_.end();) {
    const bool past = it->second <= virtual_time_;
    it = past ? virtual_finishes_.erase(it) : std::next(it);
  }
}

}  // namespace bilberryspool::limits
