#ifndef LIBS_LIMITS_FAIR_QUEUE_H_
#define LIBS_LIMITS_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/limits/admission_event.h"
#include "libs/limits/priority.h"

namespace bilberryspool::limits {

struct QueuedRequest {
  AdmissionId id;
  Workspace workspace;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
  // A later start is of no use to its caller.
  TimePoint latest_start;
  // Expected cost of running it; must be above 0.
  Duration run_time{1};
  std::uint32_t tokens = 0;
};

// Queue of one service: start-time fair queueing over the workspaces by their
// weights, and within a workspace by priority, then deadline.
//
// Guards small workspaces: one with a short queue waits about
// its own queue times the sum of weights over its weight, however long the
// queues of the others are. Background work is taken only where no other is.
class FairQueue {
 public:
  using MayRun = std::function<bool(const Workspace&)>;

  void Push(const QueuedRequest& request, double weight);
  // The next request among workspaces for which `may_run` holds.
  std::optional<QueuedRequest> Pop(const MayRun& may_run);
  std::optional<QueuedRequest> Remove(AdmissionId id);
  // One that can no longer meet its deadline when started at `now`.
  std::optional<QueuedRequest> PopExpired(TimePoint now);
  // The first moment when PopExpired will give something.
  std::optional<TimePoint> next_expiry() const;

  // The request to drop when `incoming` finds the queue full; may be
  // `incoming` itself. Background first, then the least important of the
  // workspace with the most queued for its weight.
  AdmissionId Victim(const QueuedRequest& incoming, double weight) const;
  // Requests that would run before `incoming`, as the queue stands: its virtual
  // start decides, so a workspace that has had little is let in even where
  // those of the others fill the queue.
  double RequestsAhead(const QueuedRequest& incoming, double weight) const;

  std::size_t size() const { return requests_.size(); }
  std::size_t SizeOf(const Workspace& workspace) const;

 private:
  struct Order {
    bool operator()(const QueuedRequest& left,
                    const QueuedRequest& right) const;
  };
  struct WorkspaceQueue {
    std::set<QueuedRequest, Order> requests;
    double weight = 1.0;
  };
  // Kept while it is ahead of the virtual time, so that a workspace doesn't
  // gain by emptying its line.
  using Finish = std::unordered_map<Workspace, double>;

  // When a request would have its turn, in virtual time, and how many of its
  // own workspace come first.
  struct Turn {
    double start = 0.0;
    double own_ahead = 0.0;
  };

  Turn TurnOf(const QueuedRequest& incoming, double weight) const;
  static double RequestCount(const WorkspaceQueue& queue);
  double StartOf(const Workspace& workspace) const;
  void Erase(const QueuedRequest& request);
  void PruneFinishes();

  std::map<Workspace, WorkspaceQueue> workspace_queues_;
  std::map<AdmissionId, QueuedRequest> requests_;
  std::set<std::pair<TimePoint, AdmissionId>> by_latest_start_;
  Finish virtual_finishes_;
  double virtual_time_ = 0.0;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_FAIR_QUEUE_H_
