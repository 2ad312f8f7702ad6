#ifndef LIBS_ROUTING_ROUTE_REQUEST_H_
#define LIBS_ROUTING_ROUTE_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/limits/priority.h"

namespace bilberryspool::routing {

// The properties of a request that routing depends on.
struct RouteRequest {
  ServiceId service;
  // Empty for the base model without an adapter.
  std::string adapter;
  Workspace workspace;
  limits::Priority priority = limits::Priority::kNormal;
  // Hashes of the prompt's prefixes, ordered from the shortest.
  std::vector<std::uint64_t> prefix_hashes;
  std::uint32_t expected_tokens = 0;
  // Targets that earlier attempts of this request were sent to.
  std::vector<TargetId> excluded;
  TimePoint deadline;
  // Failure domain of the entry that routes the request.
  FailureDomain own_domain;
  // Only idempotent requests are used to probe an ejected target, because a
  // probe that fails has to be repeated on another target.
  bool idempotent = true;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_ROUTE_REQUEST_H_
