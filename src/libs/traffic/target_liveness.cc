#include "libs/traffic/target_liveness.h"

#include <algorithm>

namespace bilberryspool::traffic {

void TargetLiveness::OnSent(const TargetId& target,
                            const ServiceId& service,
                            TimePoint now) {
  Target& entry = targets_[target];
  if (entry.waiting == 0) {
    entry.service = service;
    entry.silent_since = now;
  }
  ++entry.waiting;
}

void TargetLiveness::OnBytesReceived(const TargetId& target, TimePoint now) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  found->second.silent_since = now;
  Service& service = services_[found->second.service];
  if (service.last_responder != target) {
    service.other_response_at = service.last_response_at;
    service.last_responder = target;
  }
  if (now - service.last_response_at > options_.max_active_gap) {
    service.active_since = now;
  }
  service.last_response_at = now;
}

void TargetLiveness::OnFirstByte(const TargetId& target,
                                 Duration waited,
                                 TimePoint now) {
  OnBytesReceived(target, now);
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  Duration& usual_latency = services_[found->second.service].usual_latency;
  const Duration step = waited - usual_latency;
  usual_latency += Duration(static_cast<Duration::rep>(
      options_.latency_smoothing * static_cast<double>(step.count())));
}

void TargetLiveness::OnEnded(const TargetId& target) {
  const auto found = targets_.find(target);
  if (found != targets_.end() && --found->second.waiting == 0) {
    targets_.erase(found);
  }
}

bool TargetLiveness::HasRespondedSince(const Service& service,
                                       TimePoint response_at,
                                       TimePoint silent_since,
                                       TimePoint now) const {
  return response_at != TimePoint{} &&
         response_at - silent_since >= options_.min_response_after_silence &&
         now - service.active_since >= options_.min_active_period;
}

bool TargetLiveness::IsSuspect(const TargetId& target, TimePoint now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return false;
  }
  const auto service = services_.find(found->second.service);
  if (service == services_.end()) {
    return false;
  }
  const Service& service_state = service->second;
  const TimePoint silent_since = found->second.silent_since;
  const TimePoint other_response = service_state.last_responder == target
                                       ? service_state.other_response_at
                                       : service_state.last_response_at;
  const Duration usual_latency(static_cast<Duration::rep>(
      options_.usual_latency_factor *
      static_cast<double>(service_state.usual_latency.count())));
  return now - silent_since > std::max(options_.min_silence, usual_latency) &&
         HasRespondedSince(service_state, other_response, silent_since, now);
}

bool TargetLiveness::HasProgressed(const ServiceId& service,
                                   TimePoint silent_since,
                                   TimePoint now) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         HasRespondedSince(found->second, found->second.last_response_at,
                           silent_since, now);
}

}  // namespace bilberryspool::traffic
