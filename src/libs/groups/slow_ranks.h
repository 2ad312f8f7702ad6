// Which ranks of a lock-step group are better left without requests.
//
// What can go wrong: one engine turns several times slower. A step lasts as
// long as the slowest rank's own part, and that part begins with a fixed time
// however few requests the rank has: one request is enough to make steps of the
// whole group last several times as long. It shows as pauses of all streams
// above the longest that callers take for good. A rank without requests has no
// part of its own; without it the group has one batch less and keeps its pace.
//
// Pure: what is known in, ranks out.

#ifndef LIBS_GROUPS_SLOW_RANKS_H_
#define LIBS_GROUPS_SLOW_RANKS_H_

#include <cstdint>
#include <map>
#include <set>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::groups {

// How long one token of all requests of a full batch takes, by the engine's
// description.
struct BatchTimes {
  std::uint32_t slots = 0;
  Duration step{};              // however many requests there are
  Duration step_per_request{};  // on top, for each request
  // The part of the latter that experts do: it is spread over all ranks that
  // hold them, whoever's requests they are.
  double expert_share = 0.0;
};

// A rank below this is not taken for slow: reported paces vary by some percent,
// and one that is left out costs its whole batch.
inline constexpr double kMinSlowPace = 1.4;

// The ranks without which full batches of the others write most tokens per
// second. `paces`: how many times as long as a healthy rank each takes.
std::set<RankIndex> FindSlowRanks(const std::map<RankIndex, double>& paces,
                                  const BatchTimes& times);

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_SLOW_RANKS_H_
