#include "libs/placement/pick_weight_estimator.h"

#include <algorithm>

namespace bilberryspool::placement {

void PickWeightEstimator::AddSample(double picks_per_request) {
  if (samples_.size() < options_.window) {
    samples_.push_back(picks_per_request);
  } else {
    samples_[next_] = picks_per_request;
    next_ = (next_ + 1) % options_.window;
  }
  std::vector<double> sorted = samples_;
  const auto rank = static_cast<std::ptrdiff_t>(
      options_.decode_only_quantile * static_cast<double>(sorted.size()));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  decode_picks_per_request_ = sorted[static_cast<std::size_t>(rank)];
}

double PickWeightEstimator::WeightOf(double picks,
                                     std::uint64_t steps,
                                     std::uint32_t requests) {
  const double shares = static_cast<double>(steps) * requests;
  if (picks <= 0.0) {
    return 1.0;
  }
  if (shares > 0.0) {
    AddSample(picks / shares);
  }
  if (samples_.size() < options_.min_readings) {
    return 1.0;
  }
  const double written = decode_picks_per_request_ * shares;
  if (picks <= options_.tolerance * written) {
    return 1.0;
  }
  return (written + options_.read_work * (picks - written)) / picks;
}

}  // namespace bilberryspool::placement
