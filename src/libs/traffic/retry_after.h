// The Retry-After field of a target's answer.

#ifndef LIBS_TRAFFIC_RETRY_AFTER_H_
#define LIBS_TRAFFIC_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "libs/base/time.h"

namespace bilberryspool::traffic {

// Parses a delay in seconds, with or without a fraction, of one day at most.
// Nothing if `text` is not a decimal number of zero or more; the date form of
// RFC 9110 is not read.
std::optional<Duration> ReadRetryAfter(std::string_view text);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_RETRY_AFTER_H_
