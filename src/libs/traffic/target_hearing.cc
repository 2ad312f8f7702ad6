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
  if (now - service.last_heard_at > options_.pause) {
    service.talking_since = now;
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

bool TargetHearing::HasOutlived(const Service& service,
                                TimePoint heard_at,
                                TimePoint quiet_since,
                                TimePoint now) const {
  return heard_at != TimePoint{} &&
         heard_at - quiet_since >= options_.outlived_by &&
         now - service.talking_since >= options_.talking_for;
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
  const TimePoint quiet_since = found->second.quiet_since;
  const TimePoint other_at =
      heard.last_heard == target ? heard.other_heard_at : heard.last_heard_at;
  const Duration usual(static_cast<Duration::rep>(
      options_.usual_times * static_cast<double>(heard.usual.count())));
  return now - quiet_since > std::max(options_.least_silence, usual) &&
         HasOutlived(heard, other_at, quiet_since, now);
}

bool TargetHearing::HasGoneOn(const ServiceId& service,
                              TimePoint quiet_since,
                              TimePoint now) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         HasOutlived(found->second, found->second.last_heard_at, quiet_since,
                     now);
}

}  // namespace bilberryspool::traffic
