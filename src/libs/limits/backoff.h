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

// Delay before retry number `retry` (from 0): exponential, drawn at random from
// the upper half of the step. Retries are then neither synchronized nor
// immediate.
Duration BackoffDelay(const BackoffOptions& options,
                      std::uint32_t retry,
                      Random& random);

// A retry hint for a caller: `base` plus a random part of up to half of it, so
// that callers refused at the same time don't return at the same time.
Duration AddJitter(Duration base, Random& random);

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_BACKOFF_H_
