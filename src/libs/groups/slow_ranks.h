// Selects the ranks of a lock-step group that should get no requests.
//
// Guards against one engine that turns several times slower. A step lasts as
// long as the slowest rank's own part, and that part begins with a fixed time
// however few requests the rank has: one request is enough to make every step
// of the whole group last several times as long. All streams then pause for
// longer than callers accept. A rank without requests has no part of its own;
// without it the group has one batch less and keeps its pace.
//
// A pure function: does no I/O and keeps no state.

#ifndef LIBS_GROUPS_SLOW_RANKS_H_
#define LIBS_GROUPS_SLOW_RANKS_H_

#include <cstdint>
#include <map>
#include <set>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::groups {

// Time that one token of all requests of a full batch takes, as described by
// the engine.
struct BatchTimes {
  std::uint32_t slots = 0;      // requests in a full batch
  Duration step{};              // independent of the number of requests
  Duration step_per_request{};  // additional, for each request
  // Share of `step_per_request` that is spent in experts. It is spread over all
  // ranks that hold them, regardless of which rank has the request.
  double expert_share = 0.0;
};

// A rank with a lower pace is not considered slow: reported paces vary by some
// percent, and leaving a rank out costs its whole batch.
inline constexpr double kMinSlowPace = 1.4;

// Returns the ranks without which full batches of the others generate the most
// tokens per second. `paces` has the step time of each rank relative to a
// healthy one.
std::set<RankIndex> FindSlowRanks(const std::map<RankIndex, double>& paces,
                                  const BatchTimes& times);

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_SLOW_RANKS_H_
