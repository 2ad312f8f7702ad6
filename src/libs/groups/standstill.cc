#include "libs/groups/standstill.h"

#include <algorithm>

namespace bilberryspool::groups {

void Standstill::OnReport(RankIndex rank,
                          const EngineReport& report,
                          TimePoint as_of) {
  OnStep(report.epoch, report.step, as_of);
  if (report.epoch != epoch_) {
    return;
  }
  // A group that has lost a rank says so by itself.
  is_open_ = report.is_open;
  if (report.running + report.waiting == 0) {
    at_work_since_.erase(rank);
  } else {
    at_work_since_.try_emplace(rank, as_of);
  }
}

void Standstill::OnStep(GroupEpoch epoch, StepNumber step, TimePoint as_of) {
  if (epoch < epoch_) {
    return;
  }
  if (epoch > epoch_) {
    epoch_ = epoch;
    step_ = step;
    step_at_ = as_of;
    checked_at_ = as_of;
    at_work_since_.clear();
    is_open_ = false;
    return;
  }
  if (step == step_) {
    checked_at_ = std::max(checked_at_, as_of);
    return;
  }
  if (step < step_ || as_of < step_at_) {
    return;
  }
  const auto steps = static_cast<Duration::rep>(step.value() - step_.value());
  const double newest = ToSeconds((as_of - step_at_) / steps);
  const double mean = options_.newest_weight * newest +
                      (1.0 - options_.newest_weight) * ToSeconds(usual_);
  constexpr double kMicrosecondsPerSecond = 1e6;
  // What stood still for long is no measure of what is usual.
  usual_ = std::min(
      Microseconds(static_cast<std::int64_t>(mean * kMicrosecondsPerSecond)),
      options_.least);
  step_ = step;
  step_at_ = as_of;
  checked_at_ = as_of;
}

bool Standstill::IsStanding(TimePoint now) const {
  if (!is_open_ || at_work_since_.empty() ||
      now - checked_at_ > options_.freshness) {
    return false;
  }
  TimePoint work_since = at_work_since_.begin()->second;
  for (const auto& [rank, since] : at_work_since_) {
    work_since = std::min(work_since, since);
  }
  const Duration longest = std::max(
      options_.least,
      Duration(static_cast<Duration::rep>(
          options_.usual_times * static_cast<double>(usual_.count()))));
  return checked_at_ - std::max(step_at_, work_since) >= longest;
}

}  // namespace bilberryspool::groups
