#include "libs/traffic/target_probes.h"

#include <utility>

namespace bilberryspool::traffic {

void TargetProbes::OnSent(const TargetId& target, TimePoint now) {
  Target& entry = targets_[target];
  if (entry.waiting == 0) {
    entry.silent_since = now;
  }
  ++entry.waiting;
}

VmChange TargetProbes::OnBytesReceived(const TargetId& target, TimePoint now) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return VmChange::kNone;
  }
  Target& entry = found->second;
  entry.silent_since = now;
  if (entry.probe.has_value()) {
    entry.probe->is_outdated = true;
  }
  return Acquit(entry);
}

bool TargetProbes::OnEnded(const TargetId& target, TimePoint now) {
  const auto found = targets_.find(target);
  if (found == targets_.end() || --found->second.waiting > 0) {
    return false;
  }
  Target ended;
  ended.has_answered = found->second.has_answered;
  ended.ended_at = now;
  // Otherwise each short request would cause a probe where there is no sidecar.
  ended.probed_at = ended.has_answered ? TimePoint{} : found->second.probed_at;
  found->second = ended;
  return true;
}

void TargetProbes::RemoveUnused(TimePoint now) {
  std::erase_if(targets_, [&](const auto& item) {
    return item.second.waiting == 0 &&
           now - item.second.ended_at > options_.retention;
  });
}

std::vector<TargetProbes::DueProbe> TargetProbes::Tick(TimePoint now) {
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > options_.max_tick_gap) {
    late_at_ = now;
  }
  ticked_at_ = now;
  RemoveUnused(now);
  std::vector<DueProbe> due;
  for (auto& [id, target] : targets_) {
    if (!IsDue(target, now)) {
      continue;
    }
    last_number_ = last_number_.Next();
    target.probe = Probe{last_number_, now};
    target.probed_at = now;
    due.push_back({id, last_number_});
  }
  return due;
}

VmChange TargetProbes::OnProbeEnded(const DueProbe& probe,
                                    ProbeResult result,
                                    TimePoint now) {
  const auto found = targets_.find(probe.target);
  if (found == targets_.end()) {
    return VmChange::kNone;
  }
  Target& target = found->second;
  // There is a sidecar, whether or not the request that caused the probe has
  // ended meanwhile.
  target.has_answered = target.has_answered || result == ProbeResult::kAnswered;
  if (!target.probe.has_value() || target.probe->number != probe.number) {
    return VmChange::kNone;
  }
  const Probe ended = *std::exchange(target.probe, std::nullopt);
  switch (result) {
    case ProbeResult::kAnswered:
      return Acquit(target);
    case ProbeResult::kNoEvidence:
      return VmChange::kNone;
    case ProbeResult::kUnanswered:
      break;
  }
  if (!target.has_answered || ended.is_outdated ||
      WasLateSince(ended.began_at, now)) {
    return VmChange::kNone;
  }
  if (target.unanswered++ == 0) {
    target.unanswered_since = ended.began_at;
  }
  const bool is_enough =
      target.unanswered >= options_.min_unanswered &&
      now - target.unanswered_since >= options_.min_unanswered_period;
  if (!is_enough || target.is_unresponsive) {
    return VmChange::kNone;
  }
  target.is_unresponsive = true;
  return VmChange::kUnresponsive;
}

bool TargetProbes::IsUnresponsive(const TargetId& target, TimePoint now) const {
  const bool is_late = now - late_at_ < options_.catch_up_period ||
                       now - ticked_at_ > options_.max_tick_gap;
  const auto found = targets_.find(target);
  return !is_late && found != targets_.end() && found->second.is_unresponsive;
}

bool TargetProbes::WasLateSince(TimePoint since, TimePoint now) const {
  return late_at_ > since || now - ticked_at_ > options_.max_tick_gap;
}

bool TargetProbes::IsDue(const Target& target, TimePoint now) const {
  if (target.waiting == 0 || target.probe.has_value()) {
    return false;
  }
  const Duration since = target.probed_at == TimePoint{}
                             ? options_.first_answer_interval
                             : now - target.probed_at;
  return target.has_answered
             ? now - target.silent_since >= options_.min_silence &&
                   since >= options_.interval
             : since >= options_.first_answer_interval;
}

VmChange TargetProbes::Acquit(Target& target) {
  target.unanswered = 0;
  return std::exchange(target.is_unresponsive, false)
             ? VmChange::kRespondingAgain
             : VmChange::kNone;
}

}  // namespace bilberryspool::traffic
