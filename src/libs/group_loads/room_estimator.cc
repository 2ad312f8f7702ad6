#include "libs/group_loads/room_estimator.h"

#include <algorithm>

namespace bilberryspool::group_loads {

namespace {

// With fewer requests than this part of the slots, passes show little of what a
// request adds to them.
constexpr double kMinMeasuredPart = 0.2;

}  // namespace

RoomEstimator::RoomEstimator(RoomEstimatorOptions options)
    : options_(options) {}

void RoomEstimator::OnPass(std::uint64_t pass,
                           std::uint32_t running,
                           TimePoint now) {
  if (!readings_.empty() && pass < readings_.back().pass) {
    readings_.clear();
  }
  if (!readings_.empty() && pass == readings_.back().pass) {
    readings_.back().running = running;
    return;
  }
  readings_.push_back({now, pass, running});
  // Keeps one reading that is older than the window, so that a long pass is
  // measured as a whole.
  while (readings_.size() > 2 && now - readings_[1].at > options_.window) {
    readings_.pop_front();
  }
}

std::optional<Duration> RoomEstimator::PassTime(TimePoint now) const {
  if (readings_.size() < 2) {
    return std::nullopt;
  }
  const Reading& first = readings_.front();
  const Reading& last = readings_.back();
  const Duration mean =
      (last.at - first.at) / static_cast<Duration::rep>(last.pass - first.pass);
  return last.running == 0 ? mean : std::max(mean, now - last.at);
}

double RoomEstimator::MeanRunning() const {
  double sum = 0.0;
  for (const Reading& reading : readings_) {
    sum += reading.running;
  }
  return sum / static_cast<double>(readings_.size());
}

std::uint32_t RoomEstimator::Room(Duration max_gap, TimePoint now) const {
  const double slots = options_.slots;
  const double most = options_.usable_slots * slots;
  if (max_gap == Duration::zero()) {
    return static_cast<std::uint32_t>(most);
  }
  double per_request = ToSeconds(options_.per_request);
  const double fixed = ToSeconds(options_.fixed);
  const auto pass_time = PassTime(now);
  if (pass_time.has_value()) {
    const double running = MeanRunning();
    const double measured =
        (ToSeconds(*pass_time) - fixed) / std::max(running, 1.0);
    if (running >= kMinMeasuredPart * slots) {
      per_request = measured;
    }
  }
  const double usable = options_.usable_gap * ToSeconds(max_gap);
  if (per_request <= 0.0) {
    return static_cast<std::uint32_t>(most);
  }
  const double room = std::clamp((usable - fixed) / per_request,
                                 options_.min_part * slots, most);
  return static_cast<std::uint32_t>(room);
}

}  // namespace bilberryspool::group_loads
