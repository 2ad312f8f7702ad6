#ifndef TOOLS_ROUTING_BENCH_SIMULATION_H_
#define TOOLS_ROUTING_BENCH_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "tools/routing_bench/batch_server.h"
#include "tools/routing_bench/bench_entry.h"
#include "tools/routing_bench/event_loop.h"
#include "tools/routing_bench/workload.h"

namespace bilberryspool::routing_bench {

// The disturbance during the second phase of a run.
enum class Trouble : std::uint8_t {
  kNone,
  kDrift,
  kSlowTarget,
  kFailingTarget,
  kLostDomain,
  kFrozenEntry,
};

struct Phase {
  Duration length{0};
  // Offered load as a multiple of each service's capacity.
  double load = 0.0;
};

struct RunOptions {
  Deployment deployment;
  BenchEntryOptions entry;
  std::vector<Phase> phases;
  Trouble trouble = Trouble::kNone;
  // Share of the callers that honour Retry-After.
  double honour_share = 0.7;
  std::uint64_t seed = 1;
  // Prints the totals of the entries and of the first service's targets every
  // five seconds.
  bool trace = false;
};

// One run of the load model: callers, entries and targets. A caller resends
// until its deadline when an entry doesn't respond or refuses the call.
class Simulation {
 public:
  explicit Simulation(RunOptions options);

  void Run();

  const std::deque<Call>& calls() const { return calls_; }
  const RunOptions& options() const { return options_; }
  // Start of a phase. Given the number of phases, the end of the last one.
  TimePoint PhaseStart(std::size_t phase) const;

 private:
  struct Server {
    routing::TargetView view;
    std::unique_ptr<BatchServer> server;
  };

  void BuildServers();
  void BuildEntries();
  EntryCallbacks MakeCallbacks(std::size_t entry);
  void ScheduleArrivals(std::size_t service);
  double LoadAt(TimePoint now) const;

  void SendTry(std::size_t index);
  void OnRefused(std::size_t index,
                 std::uint64_t attempt,
                 Duration retry_after);
  bool IsCurrent(std::size_t index, std::uint64_t attempt) const;
  std::size_t DrawEntry();

  void ReportLoads();
  void ExchangeDemand();
  void StartTrouble();
  void EndTrouble();
  void LoseDomain();
  void RestoreDomain();
  void Trace();
  void BroadcastRoutingEvent(const routing::RoutingEvent& event);

  RunOptions options_;
  EventLoop loop_;
  Random random_;
  Workload workload_;
  std::map<TargetId, Server> servers_;
  std::vector<std::unique_ptr<BenchEntry>> entries_;
  // Entries that the platform's balancer has removed, by index.
  std::vector<bool> removed_;
  std::deque<Call> calls_;
  std::uint64_t tries_ = 0;
};

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_SIMULATION_H_
