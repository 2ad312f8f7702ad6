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

// One attempt at a target, with what is called when it gets on.
struct Job {
  AttemptId attempt;
  std::uint32_t tokens = 0;
  std::vector<std::uint64_t> prefixes;
  std::function<void()> on_first_token;
  std::function<void(routing::AttemptOutcome)> on_end;
};

// A target of the load model. The agent hands the engine as many jobs as its
// AdaptiveLimit allows, keeps a short queue and answers "busy" above it; the
// engine has slots that run jobs side by side, a FIFO queue that the agent
// doesn't see, and a small prefix cache.
class BatchServer {
 public:
  BatchServer(EventLoop& loop, const ServiceModel& model);

  void Submit(Job job);
  // The caller is gone; frees the slot. Calls nothing back.
  void Cancel(const AttemptId& attempt);

  // How many times slower than its peers it is.
  void set_slowdown(double slowdown) { slowdown_ = slowdown; }
  // Whether each job fails a few milliseconds after its start.
  void set_failing(bool failing) { failing_ = failing; }
  // A dead one says nothing and forgets its jobs.
  void set_dead(bool dead);

  routing::LoadReport load() const;
  bool dead() const { return dead_; }

 private:
  void FeedEngine();
  void StartNext();
  void OnFirstToken(const AttemptId& attempt);
  void Start(const Job& job);
  void End(const AttemptId& attempt, routing::AttemptOutcome outcome);
  // Marks the prefixes as used; gives the share that was cached.
  double Touch(const std::vector<std::uint64_t>& prefixes);

  EventLoop& loop_;
  const ServiceModel& model_;
  limits::AdaptiveLimit limit_;
  std::deque<Job> agent_queue_;
  std::deque<Job> engine_queue_;
  std::unordered_map<AttemptId, TimePoint> engine_started_at_;
  std::unordered_map<AttemptId, Job> running_;
  // The latest used first.
  std::list<std::uint64_t> cached_;
  double slowdown_ = 1.0;
  bool failing_ = false;
  bool dead_ = false;
};

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_BATCH_SERVER_H_
