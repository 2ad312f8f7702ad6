#ifndef LIBS_SPREAD_DELTA_HISTORY_H_
#define LIBS_SPREAD_DELTA_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

// The last few steps, so that a node that lags a little is sent these and
// only one that lags far is sent the whole state.
class DeltaHistory {
 public:
  DeltaHistory(std::size_t max_steps, std::size_t max_bytes)
      : max_steps_(max_steps), max_bytes_(max_bytes) {}

  // Forgets what went before where `step` does not continue it.
  void Add(const DeltaStep& step);
  void Clear();

  // The steps from `have` to the newest; nothing where they are not held.
  std::optional<std::vector<DeltaStep>> Since(const ConfigPoint& have) const;
  // The newest step alone.
  std::optional<std::vector<DeltaStep>> Last() const;

 private:
  std::size_t max_steps_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<DeltaStep> steps_;
};

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_DELTA_HISTORY_H_
