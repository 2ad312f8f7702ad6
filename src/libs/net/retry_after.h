// The Retry-After header field (RFC 9110, section 10.2.3).

#ifndef LIBS_NET_RETRY_AFTER_H_
#define LIBS_NET_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "libs/base/time.h"

namespace bilberryspool::net {

// Parses a delay in seconds, with or without a fraction, of one day at most.
// Nothing if `text` is not a decimal number of zero or more; the date form of
// RFC 9110 is not read.
std::optional<Duration> ReadRetryAfter(std::string_view text);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_RETRY_AFTER_H_
