// Checks the bound on requests to a cold target as a sum over all gateways.

#ifndef AUTO_COLD_TARGETS_COLD_RULE_H_
#define AUTO_COLD_TARGETS_COLD_RULE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::cold_targets {

// The largest number of requests that were sent to one target within one
// second.
inline std::size_t MostInOneSecond(std::vector<TimePoint> sent) {
  std::sort(sent.begin(), sent.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= Seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace bilberryspool::cold_targets

#endif  // AUTO_COLD_TARGETS_COLD_RULE_H_
