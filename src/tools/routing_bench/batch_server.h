#ifndef TOOLS_ROUTING_BENCH_BATCH_SERVER_H_
#define TOOLS_ROUTING_BENCH_BATCH_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/limits/adaptive_limit.h"
#include "libs/routing/routing_event.h"
#include "tools/routing_bench/event_loop.h"
#include "tools/routing_bench/workload.h"

namespace bilberryspool::routing_bench {

// One attempt at a target, with the callbacks for its progress.
struct Job {
  AttemptId attempt;
  std::uint32_t tokens = 0;
  std::vector<std::uint64_t> prefixes;
  std::function<void()> on_first_token;
  std::function<void(routing::AttemptOutcome)> on_end;
};

// A target of the load model: an agent and its engine. The agent passes as many
// jobs to the engine as its AdaptiveLimit allows, keeps a short queue and
// answers "busy" when the queue is full. The engine runs one job per slot in
// parallel and has a FIFO queue that the agent doesn't see and a small LRU
// cache of prompt prefixes.
class BatchServer {
 public:
  BatchServer(EventLoop& loop, const ServiceModel& model);

  void Submit(Job job);
  // Removes the attempt after its caller has gone and frees its slot. Calls
  // neither callback.
  void Cancel(const AttemptId& attempt);

  // Factor by which all service times are multiplied.
  void set_slowdown(double slowdown) { slowdown_ = slowdown; }
  // While true, each job fails a few milliseconds after its start.
  void set_failing(bool failing) { failing_ = failing; }
  // A dead server drops its jobs and its cache and ignores new jobs.
  void set_dead(bool dead);

  routing::LoadReport load() const;
  bool dead() const { return dead_; }

 private:
  // Moves jobs from the agent's queue to the engine's, up to the limit.
  void FeedEngine();
  void StartNext();
  void OnFirstToken(const AttemptId& attempt);
  void Start(const Job& job);
  void End(const AttemptId& attempt, routing::AttemptOutcome outcome);
  // Marks the prefixes as used and returns the fraction that was cached.
  double Touch(const std::vector<std::uint64_t>& prefixes);

  EventLoop& loop_;
  const ServiceModel& model_;
  limits::AdaptiveLimit limit_;
  std::deque<Job> agent_queue_;
  std::deque<Job> engine_queue_;
  std::unordered_map<AttemptId, TimePoint> engine_started_at_;
  std::unordered_map<AttemptId, Job> running_;
  // Prefixes, most recently used first.
  std::list<std::uint64_t> cached_;
  double slowdown_ = 1.0;
  bool failing_ = false;
  bool dead_ = false;
};

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_BATCH_SERVER_H_
