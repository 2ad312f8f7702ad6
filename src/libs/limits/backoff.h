#ifndef LIBS_LIMITS_BACKOFF_H_
#define LIBS_LIMITS_BACKOFF_H_

#include <cstdint>

#include "libs/base/random.h"
#include "libs/base/time.h"

namespace bilberryspool::limits {

struct BackoffOptions {
  Duration first = Milliseconds(50);
  Duration max = Seconds(5);
};

// Waiting time before retry number `retry` (from 0): exponential, drawn from
// the upper half of the step so that retries neither come in step nor at once.
Duration BackoffDelay(const BackoffOptions& options,
                      std::uint32_t retry,
                      Random& random);

// A hint for a caller: `base` and up to half as much again, so that callers
// refused together don't return together.
Duration AddJitter(Duration base, Random& random);

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_BACKOFF_H_
