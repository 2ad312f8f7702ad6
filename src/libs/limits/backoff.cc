#include "libs/limits/backoff.h"

#include <algorithm>

namespace bilberryspool::limits {
namespace {

constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

Duration BackoffDelay(const BackoffOptions& options,
                      std::uint32_t retry,
                      Random& random) {
  const auto factor = std::int64_t{1} << std::min(retry, kMaxDoublings);
  const Duration step = std::min(options.first * factor, options.max);
  return random.Between(step / 2, step);
}

Duration AddJitter(Duration base, Random& random) {
  return random.Between(base, base + base / 2);
}

}  // namespace bilberryspool::limits
