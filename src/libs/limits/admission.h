// Admission: whether and when a request may run, as a pure decision.
//
// One Admission belongs to one entry. Each arrival gets exactly one outcome:
// Admit, Refuse, or none where its caller left first. It guards against
// - overload: the queue is bounded, and what can't meet its deadline is refused
//   the moment that is known, with a hint from the present state;
// - large workspaces starving small ones (fair queueing, limits);
// - a retry storm keeping the overload alive: hints are spread out, and work
//   that would end too late takes no capacity.

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
  // Requests queued for one service.
  std::size_t max_queued = 1000;
  // Believed of a service until requests of it have finished.
  Duration initial_run_time = Seconds(1);
  // Longest wait in the queue, whatever the deadline: an answer that starts
  // later is silence on the line. Background work may wait until it is too late
  // for its deadline.
  Duration max_queue_wait = Seconds(1);
  // The least hint to a refused caller, before spreading.
  Duration min_retry_after = Milliseconds(100);
  // Hint where a service has no usable target.
  Duration no_capacity_retry = Seconds(2);
  DemandShareOptions share;
};

class Admission {
 public:
  Admission(AdmissionOptions options, std::uint64_t seed);

  // Handles one event. Refusals of queued requests that have become hopeless
  // by `now` come first, whatever the event.
  std::vector<AdmissionAction> Handle(const AdmissionEvent& event,
                                      TimePoint now);
  // When to hand in a Tick at the latest: the next queued request becomes
  // hopeless then.
  std::optional<TimePoint> next_deadline() const;

  // The demand summary to send to the other entries about every half second.
  std::vector<WorkspaceDemand> AnnounceDemand(TimePoint now);

  std::size_t queued(const ServiceId& service) const;
  std::size_t running(const ServiceId& service) const;
  std::size_t running(const Workspace& workspace) const;
  // This entry's present share of a workspace's limits, in (0, 1].
  double share(const Workspace& workspace) const;
  // This entry's present share of all demand, for Router::Capacity.
  double entry_share(TimePoint now) const;
  // How long a request arriving now would wait, at most, given a fair turn.
  Duration ExpectedWait(const ServiceId& service) const;

 private:
  using Actions = std::vector<AdmissionAction>;
  struct ServiceQueue {
    explicit ServiceQueue(Duration initial_run_time) : rate(initial_run_time) {}
    FairQueue queue;
    DrainRate rate;
    std::size_t capacity = 0;
    std::size_t running = 0;
    // Arrivals a second, averaged; with those refused.
    double arrivals = 0.0;
    TimePoint last_arrival;
  };
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

  // Admits what fits.
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

  // When to come back, so that those who do meet a queue they fit into: the
  // wait, times how often the arrivals exceed what the lane drains.
  Duration RetryAfter(const ServiceQueue& service_queue, Duration wait) const;

  ServiceQueue& ServiceQueueOf(const ServiceId& service);
  Account& AccountOf(const Workspace& workspace, TimePoint now);
  void SetLimits(Account& account,
                 const WorkspaceLimits& limits,
                 TimePoint now);
  // Follows the present share.
  void Refresh(Account& account, TimePoint now);
  // This entry's part of the workspace's concurrency; at least 1.
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
