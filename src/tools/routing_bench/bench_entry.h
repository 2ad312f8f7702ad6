#ifndef TOOLS_ROUTING_BENCH_BENCH_ENTRY_H_
#define TOOLS_ROUTING_BENCH_BENCH_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/limits/admission.h"
#include "libs/limits/retry_budget.h"
#include "libs/routing/router.h"
#include "tools/routing_bench/batch_server.h"
#include "tools/routing_bench/event_loop.h"
#include "tools/routing_bench/workload.h"

namespace bilberryspool::routing_bench {

// Connects an entry with the simulation: lookup of targets, and reports to the
// caller. `call` is the index of the call, `attempt` the number of the caller's
// try.
struct EntryCallbacks {
  std::function<BatchServer&(const TargetId&)> server;
  std::function<Duration(const TargetId&)> delay_to;
  std::function<void(std::size_t call, std::uint64_t attempt)> first_token;
  std::function<void(std::size_t call, std::uint64_t attempt)> answered;
  std::function<void(std::size_t call, std::uint64_t attempt, Duration)>
      refused;
  std::function<void(std::size_t call, std::uint64_t attempt)> failed;
};

struct BenchEntryOptions {
  routing::RouterOptions router;
  limits::AdmissionOptions admission;
  // False: no admission and no retry budget. Each request is sent on at once
  // and retried up to three times.
  bool limited = true;
};

// An entry of the load model: Router, Admission and RetryBudget connected as in
// the gateway, without sockets.
class BenchEntry {
 public:
  BenchEntry(EventLoop& loop,
             const Deployment& deployment,
             FailureDomain domain,
             BenchEntryOptions options,
             EntryCallbacks callbacks,
             std::uint64_t seed);

  // Runs `event` now, or on resume if the entry is frozen. Drops it if the
  // entry is dead.
  void Deliver(EventLoop::Callback event);
  void set_frozen(bool frozen);
  void set_dead(bool dead) { dead_ = dead; }
  bool reachable() const { return !dead_ && !frozen_; }

  // Accepts try number `attempt` of the call with this index.
  void AddRequest(std::size_t index, std::uint64_t attempt, const Call& call);
  void OnRoutingEvent(const routing::RoutingEvent& event);
  void OnAdmissionEvent(const limits::AdmissionEvent& event);
  // Ends all attempts at a target whose link is broken.
  void OnLinkDown(const TargetId& target);
  void RefreshCapacity();
  std::vector<limits::WorkspaceDemand> AnnounceDemand();

  std::size_t Capacity(std::size_t service) const;
  std::size_t queued(std::size_t service) const;
  const FailureDomain& domain() const { return domain_; }

 private:
  struct Request {
    std::size_t index = 0;
    std::uint64_t client_try = 0;
    Call call;
    std::vector<TargetId> tried_targets;
    std::optional<AttemptId> attempt;
    TargetId target;
    bool started = false;
    std::uint32_t retries = 0;
  };

  void Execute(const std::vector<limits::AdmissionAction>& actions);
  void StartAttempt(limits::AdmissionId id);
  void Send(limits::AdmissionId id, const TargetId& target);
  void OnFirstToken(limits::AdmissionId id, const AttemptId& attempt);
  void OnEnd(limits::AdmissionId id,
             const AttemptId& attempt,
             routing::AttemptOutcome outcome);
  void OnDeadline(limits::AdmissionId id);
  bool MayRetry(const Request& request, routing::AttemptOutcome outcome);
  void Drop(limits::AdmissionId id);
  void ScheduleTick();
  Workspace WorkspaceOf(const Call& call) const;

  EventLoop& loop_;
  const Deployment& deployment_;
  FailureDomain domain_;
  BenchEntryOptions options_;
  EntryCallbacks callbacks_;
  Random random_;
  routing::Router router_;
  limits::Admission admission_;
  limits::RetryBudget retry_budget_;
  std::unordered_map<limits::AdmissionId, Request> requests_;
  std::deque<EventLoop::Callback> deferred_;
  TimePoint next_tick_;
  std::uint64_t ids_ = 0;
  bool frozen_ = false;
  bool dead_ = false;
};

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_BENCH_ENTRY_H_
