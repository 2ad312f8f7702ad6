#include "libs/traffic/target_pauses.h"

#include <algorithm>

namespace bilberryspool::traffic {

// The fewer callers can still be refused in the pause, the less they need to be
// spread.
Duration RetryAfterPause(Duration left, Random& random, Duration max_spread) {
  return left + random.Between(Duration::zero(), std::min(left, max_spread));
}

bool TargetPauses::OnRequested(const TargetRun& run,
                               Duration length,
                               TimePoint now) {
  std::erase_if(pauses_, [now](const auto& item) {
    return now >= item.second.ends_at + kRecentPause;
  });
  if (length <= Duration::zero()) {
    return false;
  }
  const TimePoint ends_at = now + length;
  const auto [found, is_new] =
      pauses_.try_emplace(run.target, Pause{run.incarnation, ends_at});
  Pause& pause = found->second;
  const bool was_paused =
      !is_new && pause.incarnation == run.incarnation && now < pause.ends_at;
  if (!was_paused || ends_at > pause.ends_at) {
    pause = {run.incarnation, ends_at};
  }
  return !was_paused;
}

Duration TargetPauses::TimeLeft(const TargetId& target,
                                Incarnation incarnation,
                                TimePoint now) const {
  const Pause* pause = Find(target, incarnation);
  return pause == nullptr ? Duration::zero()
                          : std::max(pause->ends_at - now, Duration::zero());
}

bool TargetPauses::HasJustEnded(const TargetId& target,
                                Incarnation incarnation,
                                TimePoint now) const {
  const Pause* pause = Find(target, incarnation);
  return pause != nullptr && now >= pause->ends_at &&
         now < pause->ends_at + kRecentPause;
}

std::size_t TargetPauses::Count(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      pauses_.begin(), pauses_.end(),
      [now](const auto& item) { return now < item.second.ends_at; }));
}

const TargetPauses::Pause* TargetPauses::Find(const TargetId& target,
                                              Incarnation incarnation) const {
  const auto found = pauses_.find(target);
  const bool is_known =
      found != pauses_.end() && found->second.incarnation == incarnation;
  return is_known ? &found->second : nullptr;
}

}  // namespace bilberryspool::traffic
