// Request rate limits that targets declare for all callers together.

#ifndef LIBS_DECLARED_LIMITS_DECLARED_LIMIT_H_
#define LIBS_DECLARED_LIMITS_DECLARED_LIMIT_H_

#include <optional>

#include "libs/base/target_run.h"
#include "libs/base/time.h"

namespace bilberryspool::declared_limits {

// A limit that a gateway received in an answer of a target.
struct LimitStatement {
  TargetRun run;
  // Requests per second from all gateways together; nothing if the target no
  // longer declares a limit.
  std::optional<double> per_second;
  Duration age{};
};

// A limit as a gateway currently applies it, in requests per second.
struct DeclaredLimit {
  TargetRun run;
  double per_second = 0.0;
};

// The part of a limit that one gateway may use.
struct LimitShare {
  TargetRun run;
  // The declared limit, in requests per second.
  double per_second = 0.0;
  // The gateway's part of it, in requests per second.
  double share = 0.0;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_DECLARED_LIMIT_H_
