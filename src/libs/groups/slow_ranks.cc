#include "libs/groups/slow_ranks.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bilberryspool::groups {

namespace {

struct RankPace {
  RankIndex rank;
  double pace = 1.0;
};

std::vector<RankPace> FastestFirst(const std::map<RankIndex, double>& paces) {
  std::vector<RankPace> sorted;
  sorted.reserve(paces.size());
  for (const auto& [rank, pace] : paces) {
    sorted.push_back({rank, std::max(pace, 1.0)});
  }
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const RankPace& a, const RankPace& b) { return a.pace < b.pace; });
  return sorted;
}

}  // namespace

std::set<RankIndex> FindSlowRanks(const std::map<RankIndex, double>& paces,
                                  const BatchTimes& times) {
  const std::vector<RankPace> sorted = FastestFirst(paces);
  double speeds = 0.0;
  for (const RankPace& item : sorted) {
    speeds += 1.0 / item.pace;
  }
  const double per_batch = times.slots * ToSeconds(times.step_per_request);
  const double own_part =
      ToSeconds(times.step) + per_batch * (1.0 - times.expert_share);
  const double expert_part = per_batch * times.expert_share;
  std::size_t most_useful = 0;
  double most_tokens = 0.0;
  for (std::size_t used = 1; used <= sorted.size(); ++used) {
    const auto batches = static_cast<double>(used);
    const double step_time =
        sorted[used - 1].pace * own_part + expert_part * batches / speeds;
    const double tokens = step_time <= 0.0 ? batches : batches / step_time;
    if (tokens >= most_tokens) {
      most_tokens = tokens;
      most_useful = used;
    }
  }
  std::set<RankIndex> slow;
  for (std::size_t i = most_useful; i < sorted.size(); ++i) {
    if (sorted[i].pace >= kMinSlowPace) {
      slow.insert(sorted[i].rank);
    }
  }
  return slow;
}

}  // namespace bilberryspool::groups
