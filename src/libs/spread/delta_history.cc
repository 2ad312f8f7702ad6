#include "libs/spread/delta_history.h"

namespace bilberryspool::spread {

void DeltaHistory::Add(const DeltaStep& step) {
  if (!steps_.empty() && steps_.back().to != step.from) {
    Clear();
  }
  steps_.push_back(step);
  bytes_ += step.bytes.size();
  while (steps_.size() > max_steps_ ||
         (bytes_ > max_bytes_ && steps_.size() > 1)) {
    bytes_ -= steps_.front().bytes.size();
    steps_.pop_front();
  }
}

void DeltaHistory::Clear() {
  steps_.clear();
  bytes_ = 0;
}

std::optional<std::vector<DeltaStep>> DeltaHistory::Since(
    const ConfigPoint& have) const {
  std::vector<DeltaStep> since;
  for (const DeltaStep& step : steps_) {
    if (!since.empty() || step.from == have) {
      since.push_back(step);
    }
  }
  if (since.empty()) {
    return std::nullopt;
  }
  return since;
}

std::optional<std::vector<DeltaStep>> DeltaHistory::Last() const {
  if (steps_.empty()) {
    return std::nullopt;
  }
  return std::vector<DeltaStep>{steps_.back()};
}

}  // namespace bilberryspool::spread
