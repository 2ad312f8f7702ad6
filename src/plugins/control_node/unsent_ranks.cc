#include "plugins/control_node/unsent_ranks.h"

#include <algorithm>
#include <cstddef>

namespace bilberryspool::control_node {

using groups::MulticastResult;

groups::MulticastOrder OrderForUnsent(const groups::MulticastOrder& order,
                                      const MulticastResult& result) {
  groups::MulticastOrder unsent = order;
  unsent.ranks.clear();
  const std::size_t count =
      std::min(order.ranks.size(), result.statuses.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (result.statuses[i] == MulticastResult::kNotSent) {
      unsent.ranks.push_back(order.ranks[i]);
    }
  }
  return unsent;
}

void MergeUnsent(const MulticastResult& second, MulticastResult& result) {
  auto status = second.statuses.begin();
  for (auto& first : result.statuses) {
    if (first != MulticastResult::kNotSent || status == second.statuses.end()) {
      continue;
    }
    first = *status++;
  }
}

}  // namespace bilberryspool::control_node
