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
  // Number of consecutive failures that ejects a target.
  std::uint32_t consecutive_failures = 5;
  // Share of failures that ejects a target with intermittent failures; a moving
  // average over about the last `1 / smoothing` results.
  double failure_share = 0.5;
  double smoothing = 0.1;
  // Number of results needed before failure shares and latencies are compared.
  std::uint32_t min_results = 10;
  // A target is ejected if its first-token latency is at least `slow_factor`
  // times the median of the other targets of the service and exceeds it by at
  // least `slow_margin`.
  double slow_factor = 4.0;
  Duration slow_margin = Milliseconds(200);
  // Maximum share of a service's targets that may be ejected at the same time.
  // One target may always be ejected if another one remains.
  double max_ejected_share = 0.34;
  Duration initial_ejection = Seconds(5);
  Duration max_ejection = Seconds(120);
  // Time from the successful probe until the target has its full weight.
  Duration slow_start = Seconds(10);
  double slow_start_weight = 0.1;
  // The ejection time starts again at `initial_ejection` once a target has been
  // healthy for this long.
  Duration backoff_reset_after = Seconds(300);
};

enum class HealthState : std::uint8_t {
  kHealthy,
  kEjected,
  // The ejection time has passed; one request at a time may probe the target.
  kProbing,
  kSlowStart,
};

enum class HealthResult : std::uint8_t { kGood, kBad };

// Passive outlier ejection over the targets of one entry.
//
// Guards against targets that pass their health check but fail requests (gray
// failures), targets that fail so fast that they look idle and attract all
// load, and targets that are far slower than their peers. Never ejects all
// targets of a service, more than the configured share, or the last target of a
// failure domain that has several: if all targets of a domain fail at once, the
// network path or the request is the likely cause, not the targets.
class TargetHealth {
 public:
  explicit TargetHealth(TargetHealthOptions options);

  // Adds a target or changes the services that it serves. A target without
  // services (draining, stale) keeps its history but does not count towards the
  // ejection bounds.
  void Add(const TargetId& target,
           const FailureDomain& domain,
           std::vector<ServiceId> services,
           TimePoint now);
  void Remove(const TargetId& target, TimePoint now);

  // Records the first-token latency of an attempt, which may still fail.
  void RecordLatency(const TargetId& target, Duration latency);
  // Records the result of an attempt. Not to be called for outcomes that tell
  // nothing about the target.
  void Record(const TargetId& target, HealthResult result, TimePoint now);
  // Call when a request was sent to a target in state kProbing.
  void ProbeStarted(const TargetId& target);
  // Call when the probe has ended; `result` is empty if the outcome tells
  // nothing about the target. Results of attempts from before the ejection
  // don't count as probes.
  void ProbeEnded(const TargetId& target,
                  std::optional<HealthResult> result,
                  TimePoint now);

  HealthState state(const TargetId& target, TimePoint now) const;
  // Whether no probe of the target is in flight.
  bool can_probe(const TargetId& target) const;
  // Weight in (0, 1] from slow start and the recent share of failures.
  double weight(const TargetId& target, TimePoint now) const;
  // When the ejection ends; a time in the past if the target is not ejected.
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
    // True from the ejection until a probe succeeds or EnforceBounds() ends it.
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
  // Ends ejections that exceed the bounds after other targets were removed,
  // starting with the one that would end first.
  void EnforceBounds(const std::vector<ServiceId>& services, TimePoint now);
  bool LooksFailing(const Entry& entry) const;
  bool LooksSlow(const TargetId& target, const Entry& entry) const;
  bool MayEject(const TargetId& target, const Entry& entry) const;
  void RemoveFromPools(const TargetId& target, const Entry& entry);
  // Asserts after each ejection that the bound holds.
  void CheckBound(const Entry& entry) const;
  std::size_t MaxEjected(std::size_t pool_size) const;
  std::size_t CountEjected(const Pool& pool) const;

  TargetHealthOptions options_;
  std::unordered_map<TargetId, Entry> entries_;
  std::map<ServiceId, Pool> pools_;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_TARGET_HEALTH_H_
