#ifndef LIBS_SPREAD_DELTA_HISTORY_H_
#define LIBS_SPREAD_DELTA_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

// The latest delta steps, so that a node that lags slightly is sent only the
// missing steps instead of the full state.
class DeltaHistory {
 public:
  DeltaHistory(std::size_t max_steps, std::size_t max_bytes)
      : max_steps_(max_steps), max_bytes_(max_bytes) {}

  // Appends `step`; drops the earlier steps if it does not continue them.
  void Add(const DeltaStep& step);
  void Clear();

  // The steps from `have` to the newest; nullopt if they are not available.
  std::optional<std::vector<DeltaStep>> Since(const ConfigPoint& have) const;
  // Only the newest step; nullopt if there is none.
  std::optional<std::vector<DeltaStep>> Last() const;

 private:
  std::size_t max_steps_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<DeltaStep> steps_;
};

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_DELTA_HISTORY_H_
