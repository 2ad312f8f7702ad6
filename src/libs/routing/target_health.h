#ifndef LIBS_ROUTING_TARGET_HEALTH_H_
#define LIBS_ROUTING_TARGET_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::routing {

struct TargetHealthOptions {
  // Failures in a row that eject a target.
  std::uint32_t consecutive_failures = 5;
  // Share of failures, over about the last `1 / smoothing` results, that
  // ejects one that fails now and then.
  double failure_share = 0.5;
  double smoothing = 0.1;
  // Results needed before shares and latencies are compared.
  std::uint32_t min_results = 10;
  // First-token latency over the median of the other targets of the service
  // that ejects a target, and the least difference that counts.
  double slow_factor = 4.0;
  Duration slow_margin = Milliseconds(200);
  // Largest share of a service's targets ejected at once (one is always
  // allowed where another remains).
  double max_ejected_share = 0.34;
  Duration initial_ejection = Seconds(5);
  Duration max_ejection = Seconds(120);
  // Time from the successful probe to full weight.
  Duration slow_start = Seconds(10);
  double slow_start_weight = 0.1;
  // A target that stays well this long starts again at `initial_ejection`.
  Duration backoff_reset_after = Seconds(300);
};

enum class HealthState : std::uint8_t {
  kHealthy,
  kEjected,
  // The ejection is over: one request at a time may try it.
  kProbing,
  kSlowStart,
};

enum class HealthResult : std::uint8_t { kGood, kBad };

// Passive outlier ejection over the targets of one entry.
//
// Guards against targets that answer their health call and fail the work
// (gray failures), that fail so fast that they look idle and draw all load,
// and that are far slower than their peers. Never ejects all targets of a
// service, more than the stated share, or the last one of a failure domain
// that has several: a domain whose targets all fail at once points to the path
// or to the request, not to the targets.
class TargetHealth {
 public:
  explicit TargetHealth(TargetHealthOptions options);

  // Adds a target or changes what it serves; without services it counts for
  // no bound, but keeps its history (draining, stale).
  void Add(const TargetId& target,
           const FailureDomain& domain,
           std::vector<ServiceId> services,
           TimePoint now);
  void Remove(const TargetId& target, TimePoint now);

  // A first-token latency in an attempt that may still fail.
  void RecordLatency(const TargetId& target, Duration latency);
  // The end of an attempt; those that say nothing of the target are not given.
  void Record(const TargetId& target, HealthResult result, TimePoint now);
  // A request was sent to a probing target.
  void ProbeStarted(const TargetId& target);
  // Its end; nothing where it says nothing of the target. Results of attempts
  // from before the ejection don't count as probes.
  void ProbeEnded(const TargetId& target,
                  std::optional<HealthResult> result,
                  TimePoint now);

  HealthState state(const TargetId& target, TimePoint now) const;
  // Whether a probing target may get a request now.
  bool can_probe(const TargetId& target) const;
  // In (0, 1]: slow start and the recent share of failures.
  double weight(const TargetId& target, TimePoint now) const;
  // When the ejection ends; past where it is not ejected.
  TimePoint ejected_until(const TargetId& target) const;
  std::size_t EjectedCount(const ServiceId& service, TimePoint now) const;

 private:
  struct Entry {
    FailureDomain domain;
    std::vector<ServiceId> services;
    std::uint32_t results = 0;
    std::uint32_t failures_in_row = 0;
    double failure_share = 0.0;
    std::uint32_t latencies = 0;
    double latency_seconds = 0.0;
    // True from the ejection to the first good result after it.
    bool ejected = false;
    bool probe_in_flight = false;
    TimePoint ejected_until;
    Duration last_ejection{0};
    bool in_slow_start = false;
    TimePoint recovered_at;
  };
  using Pool = std::vector<TargetId>;

  void RecordGood(const TargetId& target, Entry& entry, TimePoint now);
  void RecordBad(const TargetId& target, Entry& entry, TimePoint now);
  void Eject(Entry& entry, TimePoint now);
  void Restore(Entry& entry, TimePoint now);
  // Ends ejections that are too many since other targets went.
  void EnforceBounds(const std::vector<ServiceId>& services, TimePoint now);
  bool LooksFailing(const Entry& entry) const;
  bool LooksSlow(const TargetId& target, const Entry& entry) const;
  bool MayEject(const TargetId& target, const Entry& entry) const;
  void RemoveFromPools(const TargetId& target, const Entry& entry);
  // Checks the bound after each ejection.
  void CheckBound(const Entry& entry) const;
  std::size_t MaxEjected(std::size_t pool_size) const;
  std::size_t CountEjected(const Pool& pool) const;

  TargetHealthOptions options_;
  std::unordered_map<TargetId, Entry> entries_;
  std::map<ServiceId, Pool> pools_;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_TARGET_HEALTH_H_
