#include "libs/traffic/departure_queue.h"

namespace bilberryspool::traffic {

std::optional<DepartureRegistry::Change> DepartureQueue::NextChange(
    const DepartureRegistry& saved,
    TimePoint now) {
  std::erase_if(waiting_,
                [&](const TargetRun& run) { return saved.Contains(run); });
  Expire(now);
  const auto first = saved.first_revision();
  const bool has_expired = first.has_value() && *first <= expired_revision_;
  const bool may_remove = now - last_removal_at_ >= options_.removal_interval;
  if (waiting_.empty() && !(has_expired && may_remove)) {
    return std::nullopt;
  }
  if (has_expired) {
    last_removal_at_ = now;
  }
  DepartureRegistry::Change change;
  change.remove_up_to = expired_revision_;
  for (const TargetRun& run : waiting_) {
    if (change.runs.size() == options_.max_runs) {
      break;
    }
    change.runs.push_back(run);
  }
  return change;
}

void DepartureQueue::OnApplied(std::uint64_t revision, TimePoint now) {
  applied_.push_back({revision, now});
  Expire(now);
}

void DepartureQueue::Expire(TimePoint now) {
  while (!applied_.empty() && now - applied_.front().at > options_.retention) {
    expired_revision_ = applied_.front().revision;
    applied_.pop_front();
  }
}

}  // namespace bilberryspool::traffic
