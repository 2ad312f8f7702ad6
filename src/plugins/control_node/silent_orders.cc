#include "plugins/control_node/silent_orders.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bilberryspool::control_node {

using groups::MulticastResult;

namespace {

constexpr std::uint32_t kUnanswered = 0;

bool IsSilent(std::uint32_t status) {
  return status == MulticastResult::kNotSent || status == kUnanswered;
}

}  // namespace

groups::MulticastOrder OrderForSilent(const groups::MulticastOrder& order,
                                      const MulticastResult& result) {
  groups::MulticastOrder rest = order;
  rest.ranks.clear();
  const std::size_t count =
      std::min(order.ranks.size(), result.statuses.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (IsSilent(result.statuses[i])) {
      rest.ranks.push_back(order.ranks[i]);
    }
  }
  return rest;
}

void MergeSilent(const MulticastResult& second, MulticastResult& result) {
  auto status = second.statuses.begin();
  for (auto& first : result.statuses) {
    if (!IsSilent(first) || status == second.statuses.end()) {
      continue;
    }
    const std::uint32_t again = *status++;
    if (again != MulticastResult::kNotSent) {
      first = again;
    }
  }
}

}  // namespace bilberryspool::control_node
