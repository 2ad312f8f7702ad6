#include "libs/traffic/target_hearing.h"

#include <algorithm>

namespace bilberryspool::traffic {

void TargetHearing::OnSent(const TargetId& target,
                           const ServiceId& service,
                           TimePoint now) {
  Target& entry = targets_[target];
  if (entry.waiting == 0) {
    entry.service = service;
    entry.quiet_since = now;
  }
  ++entry.waiting;
}

void TargetHearing::OnHeard(const TargetId& target, TimePoint now) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  found->second.quiet_since = now;
  Service& service = services_[found->second.service];
  if (service.last_heard != target) {
    service.other_heard_at = service.last_heard_at;
    service.last_heard = target;
  }
  service.last_heard_at = now;
}

void TargetHearing::OnFirstByte(const TargetId& target,
                                Duration waited,
                                TimePoint now) {
  OnHeard(target, now);
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  Duration& usual = services_[found->second.service].usual;
  const Duration step = waited - usual;
  usual += Duration(static_cast<Duration::rep>(
      options_.newest_weight * static_cast<double>(step.count())));
}

void TargetHearing::OnEnded(const TargetId& target) {
  const auto found = targets_.find(target);
  if (found != targets_.end() && --found->second.waiting == 0) {
    targets_.erase(found);
  }
}

bool TargetHearing::IsSuspect(const TargetId& target, TimePoint now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return false;
  }
  const auto service = services_.find(found->second.service);
  if (service == services_.end()) {
    return false;
  }
  const Service& heard = service->second;
  const TimePoint other_at =
      heard.last_heard == target ? heard.other_heard_at : heard.last_heard_at;
  if (other_at == TimePoint{} || now - other_at > options_.others_within) {
    return false;
  }
  const Duration usual(static_cast<Duration::rep>(
      options_.usual_times * static_cast<double>(heard.usual.count())));
  return now - found->second.quiet_since >
         std::max(options_.least_silence, usual);
}

}  // namespace bilberryspool::traffic
