#include "libs/placement/speed_estimator.h"

#include <algorithm>

namespace bilberryspool::placement {

SpeedEstimator::SpeedEstimator(SpeedOptions options)
    : options_(options), ranks_(options.ranks) {}

void SpeedEstimator::Observe(RankIndex rank,
                             double work,
                             Duration busy,
                             TimePoint now) {
  if (rank.value() >= ranks_.size() || work <= 0 || busy <= Duration::zero()) {
    return;
  }
  Rank& state = ranks_[rank.value()];
  const double rate = work / ToSeconds(busy);
  const double weight = state.rate > 0 ? options_.weight : 1;
  state.rate += weight * (rate - state.rate);
  const double relative = Relative(state);
  state.slow = relative < (state.slow ? options_.recovery_threshold
                                      : options_.slow_threshold);
  if (relative >= options_.replace_threshold) {
    state.very_slow_since.reset();
  } else if (!state.very_slow_since) {
    state.very_slow_since = now;
  }
}

void SpeedEstimator::Reset(RankIndex rank) {
  if (rank.value() < ranks_.size()) {
    ranks_[rank.value()] = Rank{};
  }
}

RankHealth SpeedEstimator::HealthOf(RankIndex rank, TimePoint now) const {
  const Rank& state = ranks_.at(rank.value());
  const bool very_slow = state.very_slow_since &&
                         now - *state.very_slow_since >= options_.replace_after;
  if (very_slow) {
    return RankHealth::kToReplace;
  }
  return state.slow ? RankHealth::kSlow : RankHealth::kHealthy;
}

double SpeedEstimator::SpeedOf(RankIndex rank) const {
  const Rank& state = ranks_.at(rank.value());
  return state.slow ? Relative(state) : 1;
}

std::vector<RankCapacity> SpeedEstimator::Capacities(std::uint32_t slots,
                                                     TimePoint now) const {
  std::vector<RankCapacity> capacities;
  for (std::uint32_t i = 0; i < ranks_.size(); ++i) {
    const RankIndex rank(i);
    const bool usable = HealthOf(rank, now) != RankHealth::kToReplace;
    capacities.push_back({SpeedOf(rank), slots, usable});
  }
  return capacities;
}

double SpeedEstimator::MedianRate() const {
  std::vector<double> rates;
  for (const Rank& rank : ranks_) {
    if (rank.rate > 0) {
      rates.push_back(rank.rate);
    }
  }
  if (rates.empty()) {
    return 0;
  }
  const auto middle =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

double SpeedEstimator::Relative(const Rank& rank) const {
  const double median = MedianRate();
  return median > 0 && rank.rate > 0 ? rank.rate / median : 1;
}

}  // namespace bilberryspool::placement
