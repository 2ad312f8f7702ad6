// Admission control: decides whether and when a request may run. Pure: events
// and `now` in, decisions out.
//
// One Admission belongs to one entry. Each arrival gets exactly one outcome:
// Admit, Refuse, or none if its caller abandons it first. It guards against
// - overload: the queue is bounded, and requests that can't meet their deadline
//   are refused as soon as that is known, with a retry hint derived from the
//   current state;
// - large workspaces that starve small ones, by fair queueing and limits;
// - retry storms that prolong an overload: retry hints are spread out, and work
//   that would finish too late takes no capacity.

#ifndef LIBS_LIMITS_ADMISSION_H_
#define LIBS_LIMITS_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/limits/admission_action.h"
#include "libs/limits/admission_event.h"
#include "libs/limits/demand_share.h"
#include "libs/limits/drain_rate.h"
#include "libs/limits/fair_queue.h"
#include "libs/limits/token_bucket.h"

namespace bilberryspool::limits {

struct AdmissionOptions {
  // Maximum number of requests queued for one service.
  std::size_t max_queued = 1000;
  // Run time assumed for a service until requests of it have finished.
  Duration initial_run_time = Seconds(1);
  // Maximum wait in the queue, whatever the deadline, since the caller receives
  // nothing until the answer starts. Background work may wait until it can no
  // longer meet its deadline.
  Duration max_queue_wait = Seconds(1);
  // Minimum retry hint to a refused caller, before jitter.
  Duration min_retry_after = Milliseconds(100);
  // Retry hint if a service has no usable target.
  Duration no_capacity_retry = Seconds(2);
  DemandShareOptions share;
};

class Admission {
 public:
  Admission(AdmissionOptions options, std::uint64_t seed);

  // Handles one event. Refusals of queued requests that have expired by `now`
  // come first, whatever the event.
  std::vector<AdmissionAction> Handle(const AdmissionEvent& event,
                                      TimePoint now);
  // The latest time for the next Tick, when the next queued request expires.
  std::optional<TimePoint> next_deadline() const;

  // The demand summary to send to the other entries about every 500 ms.
  std::vector<WorkspaceDemand> AnnounceDemand(TimePoint now);

  std::size_t queued(const ServiceId& service) const;
  std::size_t running(const ServiceId& service) const;
  std::size_t running(const Workspace& workspace) const;
  // This entry's current share of a workspace's limits, in (0, 1].
  double share(const Workspace& workspace) const;
  // This entry's current share of the total demand, in (0, 1], for
  // Router::Capacity.
  double entry_share(TimePoint now) const;
  // Upper estimate of the wait of a request that arrives now, assuming a fair
  // turn.
  Duration ExpectedWait(const ServiceId& service) const;

 private:
  using Actions = std::vector<AdmissionAction>;
  // Queue and running requests of one service.
  struct ServiceQueue {
    explicit ServiceQueue(Duration initial_run_time) : rate(initial_run_time) {}
    FairQueue queue;
    DrainRate rate;
    std::size_t capacity = 0;
    std::size_t running = 0;
    // Average arrivals per second, including refused ones.
    double arrivals = 0.0;
    TimePoint last_arrival;
  };
  // Limits and running requests of one workspace.
  struct Account {
    WorkspaceLimits limits;
    TokenBucket requests{0.0, 0.0};
    TokenBucket tokens{0.0, 0.0};
    std::size_t running = 0;
  };
  struct Running {
    ServiceId service;
    Workspace workspace;
    TimePoint since;
    std::uint32_t expected_tokens = 0;
  };

  void On(const RequestArrived& event, TimePoint now, Actions& actions);
  void On(const RequestFinished& event, TimePoint now, Actions& actions);
  void On(const RequestAbandoned& event, TimePoint now, Actions& actions);
  void On(const CapacityChanged& event, TimePoint now, Actions& actions);
  void On(const LimitsChanged& event, TimePoint now, Actions& actions);
  void On(const PeerDemand& event, TimePoint now, Actions& actions);
  void On(const PeerGone& event, TimePoint now, Actions& actions);
  void On(const Tick& event, TimePoint now, Actions& actions);

  // Admits queued requests while there is capacity.
  void AdmitQueued(const ServiceId& service, TimePoint now, Actions& actions);
  void AdmitAllQueued(TimePoint now, Actions& actions);
  void RefuseExpired(TimePoint now, Actions& actions);
  std::optional<Refuse> Check(const RequestArrived& event,
                              const QueuedRequest& request,
                              const ServiceQueue& service_queue,
                              const Account& account,
                              TimePoint now);
  std::optional<Refuse> CheckDeadline(const QueuedRequest& request,
                                      const ServiceQueue& service_queue,
                                      const Account& account,
                                      TimePoint now);
  static void CountArrival(ServiceQueue& service_queue, TimePoint now);
  QueuedRequest MakeQueued(const RequestArrived& event,
                           const ServiceQueue& service_queue,
                           TimePoint now) const;
  void MakeRoom(const QueuedRequest& request,
                ServiceQueue& service_queue,
                double weight,
                TimePoint now,
                Actions& actions);
  void Release(const Running& ended);
  Refuse MakeRefusal(AdmissionId id, RefusalReason reason, Duration wait);

  // The retry hint of a refused request: the wait, multiplied by the ratio of
  // arrivals to the drain rate of the service, so that callers who retry find a
  // queue with room for them.
  Duration RetryAfter(const ServiceQueue& service_queue, Duration wait) const;

  ServiceQueue& ServiceQueueOf(const ServiceId& service);
  Account& AccountOf(const Workspace& workspace, TimePoint now);
  void SetLimits(Account& account,
                 const WorkspaceLimits& limits,
                 TimePoint now);
  // Adjusts the token buckets to the current share.
  void Refresh(Account& account, TimePoint now);
  // This entry's part of the workspace's concurrency limit; at least 1.
  double MaxRunning(const Account& account) const;

  AdmissionOptions options_;
  Random random_;
  DemandShare share_;
  std::map<ServiceId, ServiceQueue> service_queues_;
  std::unordered_map<Workspace, Account> accounts_;
  std::unordered_map<AdmissionId, Running> running_;
  // The service of each queued request.
  std::unordered_map<AdmissionId, ServiceId> queued_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_ADMISSION_H_
