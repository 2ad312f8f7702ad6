#include "libs/attempts/stall_detector.h"

#include <algorithm>

namespace bilberryspool::attempts {

namespace {

// Clocks drift by less than 1/kDriftDivisor of the elapsed time.
constexpr int kDriftDivisor = 1000;

}  // namespace

StallDetector::StallDetector(StallDetectorOptions options, TimePoint started)
    : options_(options), last_beat_(started) {}

bool StallDetector::Beat(TimePoint now) {
  const bool stalled = now - last_beat_ > options_.limit;
  last_beat_ = now;
  if (stalled) {
    NoteStall(now);
  }
  return stalled;
}

bool StallDetector::Observe(const TargetId& target,
                            AdmissionToken token,
                            TimePoint now) {
  const auto epochs = static_cast<Duration::rep>(token.epoch.value());
  const Duration ahead =
      epochs * options_.epoch_length - now.time_since_epoch();
  const auto [found, inserted] =
      leads_.try_emplace(target, EpochLead{token.incarnation, ahead, now});
  EpochLead& lead = found->second;
  if (inserted || lead.incarnation < token.incarnation) {
    lead = EpochLead{token.incarnation, ahead, now};
    return false;
  }
  if (lead.incarnation != token.incarnation) {
    return false;
  }
  const bool stalled = ahead > lead.baseline + options_.limit;
  if (stalled) {
    lead.baseline = ahead;
    NoteStall(now);
    return true;
  }
  // The baseline follows at the rate of clock drift only. It must not follow
  // the tokens that queued up during a stall, which arrive one after the other.
  const Duration drift = (now - lead.observed) / kDriftDivisor;
  lead.baseline = std::clamp(ahead, lead.baseline, lead.baseline + drift);
  lead.observed = now;
  return false;
}

bool StallDetector::MayPredateStall(TimePoint now) const {
  return grace_until_.has_value() && now < *grace_until_;
}

void StallDetector::NoteStall(TimePoint now) {
  grace_until_ = now + options_.grace;
}

}  // namespace bilberryspool::attempts
