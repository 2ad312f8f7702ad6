#ifndef TOOLS_ROUTING_BENCH_WORKLOAD_H_
#define TOOLS_ROUTING_BENCH_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/limits/priority.h"

namespace bilberryspool::routing_bench {

// A service and the targets that serve it, spread over the failure domains.
struct ServiceModel {
  ServiceId id;
  std::uint32_t target_count = 0;
  std::uint32_t slots = 1;
  // Time to the first token of a prompt without a cached prefix.
  Duration prefill{0};
  double mean_tokens = 1.0;
  Duration per_token{0};
  double non_idempotent_share = 0.0;
  Duration deadline = Seconds(20);

  double MeanRunSeconds() const;
  // Requests per second that all its targets serve at full load.
  double Capacity() const;
};

// The simulated site. `domain_delay` and `client_delay` are one-way network
// delays: between failure domains, and between callers and entries.
struct Deployment {
  std::string name;
  std::vector<ServiceModel> services;
  std::vector<FailureDomain> domains;
  Duration domain_delay{0};
  Duration client_delay{0};
  std::size_t entries = 9;
  std::size_t workspaces = 10;
  // Workspaces that send `large_factor` times as many calls as each other one.
  std::size_t large_workspaces = 3;
  double large_factor = 10.0;
};

Deployment Qasr();
Deployment Kalapuwa();

// One request of a caller, with all its tries.
struct Call {
  std::size_t service = 0;
  std::size_t workspace = 0;
  limits::Priority priority = limits::Priority::kNormal;
  bool idempotent = true;
  bool honours_retry_after = true;
  std::uint32_t tokens = 0;
  std::vector<std::uint64_t> prefixes;
  TimePoint sent_at;
  TimePoint deadline;
  std::uint32_t tries = 0;
  TimePoint last_try_at;
  std::uint32_t refusals = 0;
  // The try in progress; answers to earlier tries are ignored.
  std::uint64_t current_try = 0;
  bool acknowledged = false;
  bool ended = false;
  std::optional<TimePoint> first_token_at;
  std::optional<TimePoint> answered_at;
};

// Draws calls at random. With `drift`, the set of large workspaces and of
// popular prompt prefixes rotates every ten seconds.
class Workload {
 public:
  Workload(const Deployment& deployment,
           bool drift,
           double honour_share,
           std::uint64_t seed);

  // Time to the next arrival of a service under `load` times its capacity.
  Duration NextGap(std::size_t service, double load);
  Call Draw(std::size_t service, TimePoint now);
  // Fraction of all calls that the workspace sends, without drift.
  double ShareOf(std::size_t workspace) const;

 private:
  std::size_t DrawWorkspace(std::size_t drift_steps);

  const Deployment& deployment_;
  bool drift_;
  double honour_share_;
  Random random_;
};

}  // namespace bilberryspool::routing_bench

#endif  // TOOLS_ROUTING_BENCH_WORKLOAD_H_
