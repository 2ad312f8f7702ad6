#include "libs/placement/pick_sums.h"

#include <utility>

namespace bilberryspool::placement {

void PickSums::Add(const CounterGrowth& growth) {
  if (growth.picks.size() != counters_) {
    return;
  }
  sum_.resize(counters_);
  double picks = 0.0;
  for (const std::uint32_t count : growth.picks) {
    picks += count;
  }
  const double weight = work_.WeightOf(picks, growth.steps, growth.requests);
  for (std::size_t i = 0; i < sum_.size(); ++i) {
    sum_[i] += weight * growth.picks[i];
  }
}

std::vector<double> PickSums::Take(ReadingMark since) {
  std::vector<double> sum = std::exchange(sum_, {});
  const bool is_next = since == mark_;
  mark_ = mark_.Next();
  return is_next ? std::move(sum) : std::vector<double>();
}

}  // namespace bilberryspool::placement
