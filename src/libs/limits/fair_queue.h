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
  // A later start would not meet the caller's deadline or maximum wait.
  TimePoint latest_start;
  // Expected cost of running it; must be above 0.
  Duration run_time{1};
  std::uint32_t tokens = 0;
};

// Queue of one service. Uses start-time fair queueing over the workspaces by
// their weights; within a workspace, requests are ordered by priority, then
// deadline.
//
// Protects small workspaces: a workspace with a short queue waits about its own
// queue times the sum of weights divided by its weight, however long the other
// queues are. Background work runs only while no other work is queued.
class FairQueue {
 public:
  using MayRun = std::function<bool(const Workspace&)>;

  void Push(const QueuedRequest& request, double weight);
  // Removes and returns the next request among the workspaces for which
  // `may_run` holds.
  std::optional<QueuedRequest> Pop(const MayRun& may_run);
  std::optional<QueuedRequest> Remove(AdmissionId id);
  // Removes and returns a request that can no longer meet its deadline if
  // started at `now`.
  std::optional<QueuedRequest> PopExpired(TimePoint now);
  // The earliest time at which PopExpired() returns a request.
  std::optional<TimePoint> next_expiry() const;

  // The request to drop if `incoming` finds the queue full; may be `incoming`
  // itself. Background work is dropped first, then the least important request
  // of the workspace with the longest queue relative to its weight.
  AdmissionId Victim(const QueuedRequest& incoming, double weight) const;
  // Number of requests that would run before `incoming`, given the current
  // queue. Its virtual start time decides, so a workspace that has received
  // little service is admitted even while the requests of others fill the
  // queue.
  double RequestsAhead(const QueuedRequest& incoming, double weight) const;

  std::size_t size() const { return requests_.size(); }
  std::size_t SizeOf(const Workspace& workspace) const;

 private:
  struct Order {
    bool operator()(const QueuedRequest& left,
                    const QueuedRequest& right) const;
  };
  // Queued requests of one workspace.
  struct WorkspaceQueue {
    std::set<QueuedRequest, Order> requests;
    double weight = 1.0;
  };
  // Virtual finish times. Kept while they are ahead of the virtual time, so
  // that a workspace gains nothing by emptying its queue.
  using Finish = std::unordered_map<Workspace, double>;

  // The virtual start time of a request, and the number of requests of its own
  // workspace that come first.
  struct Turn {
    double start = 0.0;
    double own_ahead = 0.0;
  };

  Turn TurnOf(const QueuedRequest& incoming, double weight) const;
  static double RequestCount(const WorkspaceQueue& queue);
  double StartOf(const Workspace& workspace) const;
  void Erase(const QueuedRequest& request);
  // Erases finish times that the virtual time has passed.
  void PruneFinishes();

  std::map<Workspace, WorkspaceQueue> workspace_queues_;
  std::map<AdmissionId, QueuedRequest> requests_;
  std::set<std::pair<TimePoint, AdmissionId>> by_latest_start_;
  Finish virtual_finishes_;
  double virtual_time_ = 0.0;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_FAIR_QUEUE_H_
