#include "libs/routing/target_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::routing {

TargetHealth::TargetHealth(TargetHealthOptions options) : options_(options) {}

void TargetHealth::Add(const TargetId& target,
                       const FailureDomain& domain,
                       std::vector<ServiceId> services,
                       TimePoint now) {
  Entry& entry = entries_[target];
  if (entry.domain == domain && entry.services == services) {
    return;
  }
  const std::vector<ServiceId> before = entry.services;
  RemoveFromPools(target, entry);
  entry.domain = domain;
  entry.services = std::move(services);
  for (const ServiceId& service : entry.services) {
    pools_[service].push_back(target);
  }
  EnforceBounds(before, now);
  EnforceBounds(entry.services, now);
}

void TargetHealth::Remove(const TargetId& target, TimePoint now) {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return;
  }
  const std::vector<ServiceId> services = found->second.services;
  RemoveFromPools(target, found->second);
  entries_.erase(found);
  EnforceBounds(services, now);
}

void TargetHealth::EnforceBounds(const std::vector<ServiceId>& services,
                                 TimePoint now) {
  for (const ServiceId& service : services) {
    const auto pool = pools_.find(service);
    if (pool == pools_.end()) {
      continue;
    }
    while (CountEjected(pool->second) > MaxEjected(pool->second.size())) {
      Entry* next = nullptr;
      for (const TargetId& target : pool->second) {
        Entry& entry = entries_.at(target);
        if (entry.ejected &&
            (next == nullptr || entry.ejected_until < next->ejected_until)) {
          next = &entry;
        }
      }
      Restore(*next, now);
    }
  }
}

void TargetHealth::RemoveFromPools(const TargetId& target, const Entry& entry) {
  for (const ServiceId& service : entry.services) {
    Pool& pool = pools_[service];
    pool.erase(std::remove(pool.begin(), pool.end(), target), pool.end());
    if (pool.empty()) {
      pools_.erase(service);
    }
  }
}

void TargetHealth::RecordLatency(const TargetId& target, Duration latency) {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const double seconds = ToSeconds(latency);
  const double share = entry.latencies == 0 ? 1.0 : options_.smoothing;
  entry.latency_seconds += share * (seconds - entry.latency_seconds);
  ++entry.latencies;
}

void TargetHealth::Record(const TargetId& target,
                          HealthResult result,
                          TimePoint now) {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const double failed = result == HealthResult::kBad ? 1.0 : 0.0;
  entry.failure_share += options_.smoothing * (failed - entry.failure_share);
  ++entry.results;
  if (result == HealthResult::kBad) {
    RecordBad(target, entry, now);
  } else {
    RecordGood(target, entry, now);
  }
}

void TargetHealth::RecordGood(const TargetId& target,
                              Entry& entry,
                              TimePoint now) {
  entry.failures_in_row = 0;
  if (entry.ejected) {
    return;
  }
  if (now - entry.recovered_at >= options_.backoff_reset_after) {
    entry.last_ejection = Duration(0);
  }
  if (LooksSlow(target, entry) && MayEject(target, entry)) {
    Eject(entry, now);
  }
}

void TargetHealth::RecordBad(const TargetId& target,
                             Entry& entry,
                             TimePoint now) {
  ++entry.failures_in_row;
  if (entry.ejected) {
    return;
  }
  if (LooksFailing(entry) && MayEject(target, entry)) {
    Eject(entry, now);
  }
}

void TargetHealth::Eject(Entry& entry, TimePoint now) {
  const Duration doubled = entry.last_ejection * 2;
  entry.last_ejection =
      std::clamp(doubled, options_.initial_ejection, options_.max_ejection);
  entry.ejected = true;
  entry.probe_in_flight = false;
  entry.in_slow_start = false;
  entry.ejected_until = now + entry.last_ejection;
  CheckBound(entry);
}

void TargetHealth::Restore(Entry& entry, TimePoint now) {
  entry.ejected = false;
  entry.probe_in_flight = false;
  entry.in_slow_start = true;
  entry.recovered_at = now;
  entry.results = 0;
  entry.failures_in_row = 0;
  entry.failure_share = 0.0;
  entry.latencies = 0;
}

bool TargetHealth::LooksFailing(const Entry& entry) const {
  if (entry.failures_in_row >= options_.consecutive_failures) {
    return true;
  }
  return entry.results >= options_.min_results &&
         entry.failure_share >= options_.failure_share;
}

bool TargetHealth::LooksSlow(const TargetId& target, const Entry& entry) const {
  if (entry.latencies < options_.min_results) {
    return false;
  }
  for (const ServiceId& service : entry.services) {
    std::vector<double> peers;
    for (const TargetId& peer : pools_.at(service)) {
      const Entry& other = entries_.at(peer);
      if (peer != target && other.latencies >= options_.min_results) {
        peers.push_back(other.latency_seconds);
      }
    }
    if (peers.empty()) {
      continue;
    }
    const auto middle =
        peers.begin() + static_cast<std::ptrdiff_t>(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    const double over = entry.latency_seconds - *middle;
    if (entry.latency_seconds >= options_.slow_factor * *middle &&
        over >= ToSeconds(options_.slow_margin)) {
      return true;
    }
  }
  return false;
}

bool TargetHealth::MayEject(const TargetId& target, const Entry& entry) const {
  for (const ServiceId& service : entry.services) {
    const Pool& pool = pools_.at(service);
    std::size_t in_domain = 0;
    std::size_t left_in_domain = 0;
    for (const TargetId& peer : pool) {
      const Entry& other = entries_.at(peer);
      if (other.domain != entry.domain) {
        continue;
      }
      ++in_domain;
      if (peer != target && !other.ejected) {
        ++left_in_domain;
      }
    }
    if (in_domain > 1 && left_in_domain == 0) {
      return false;
    }
#if !defined(BILBERRYSPOOL_MUTATION_EJECT_WITHOUT_BOUND)
    if (CountEjected(pool) + 1 > MaxEjected(pool.size())) {
      return false;
    }
#endif
  }
  return true;
}

void TargetHealth::CheckBound(const Entry& entry) const {
  for (const ServiceId& service : entry.services) {
    const Pool& pool = pools_.at(service);
    BILBERRYSPOOL_INVARIANT(CountEjected(pool) < pool.size(),
                            "one target of a service is never ejected");
  }
}

std::size_t TargetHealth::MaxEjected(std::size_t pool_size) const {
  if (pool_size < 2) {
    return 0;
  }
  const auto share = static_cast<std::size_t>(
      std::floor(options_.max_ejected_share * static_cast<double>(pool_size)));
  return std::clamp<std::size_t>(share, 1, pool_size - 1);
}

std::size_t TargetHealth::CountEjected(const Pool& pool) const {
  std::size_t ejected = 0;
  for (const TargetId& target : pool) {
    if (entries_.at(target).ejected) {
      ++ejected;
    }
  }
  return ejected;
}

void TargetHealth::ProbeStarted(const TargetId& target) {
  const auto found = entries_.find(target);
  if (found != entries_.end() && found->second.ejected) {
    found->second.probe_in_flight = true;
  }
}

void TargetHealth::ProbeEnded(const TargetId& target,
                              std::optional<HealthResult> result,
                              TimePoint now) {
  const auto found = entries_.find(target);
  if (found == entries_.end() || !found->second.probe_in_flight) {
    return;
  }
  Entry& entry = found->second;
  entry.probe_in_flight = false;
  if (!result.has_value()) {
    return;
  }
  if (*result == HealthResult::kGood) {
    Restore(entry, now);
  } else {
    Eject(entry, now);
  }
}

HealthState TargetHealth::state(const TargetId& target, TimePoint now) const {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return HealthState::kHealthy;
  }
  const Entry& entry = found->second;
  if (entry.ejected) {
    return now < entry.ejected_until ? HealthState::kEjected
                                     : HealthState::kProbing;
  }
  if (entry.in_slow_start && now - entry.recovered_at < options_.slow_start) {
    return HealthState::kSlowStart;
  }
  return HealthState::kHealthy;
}

bool TargetHealth::can_probe(const TargetId& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() || !found->second.probe_in_flight;
}

double TargetHealth::weight(const TargetId& target, TimePoint now) const {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return 1.0;
  }
  const Entry& entry = found->second;
  // A target that fails fast looks idle. Its weight falls with its share of
  // failures, so that it doesn't attract load before it is ejected.
  const double good = std::max(0.05, 1.0 - entry.failure_share);
  double weight = good * good;
  if (state(target, now) == HealthState::kSlowStart) {
    const double passed =
        ToSeconds(now - entry.recovered_at) / ToSeconds(options_.slow_start);
    weight *= std::max(options_.slow_start_weight, passed);
  }
  return weight;
}

TimePoint TargetHealth::ejected_until(const TargetId& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? TimePoint() : found->second.ejected_until;
}

std::size_t TargetHealth::EjectedCount(const ServiceId& service,
                                       TimePoint now) const {
  const auto pool = pools_.find(service);
  if (pool == pools_.end()) {
    return 0;
  }
  std::size_t ejected = 0;
  for (const TargetId& target : pool->second) {
    if (state(target, now) == HealthState::kEjected) {
      ++ejected;
    }
  }
  return ejected;
}

}  // namespace bilberryspool::routing
