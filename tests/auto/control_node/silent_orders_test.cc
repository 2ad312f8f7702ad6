// Guards against changes of a map being given up, or stalling their group, for
// as long as a control node is cut off from ranks that the leader reaches.

#include "plugins/control_node/silent_orders.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

namespace bilberryspool::control_node {
namespace {

using groups::MulticastResult;
using Statuses = std::vector<std::uint32_t>;

groups::MulticastOrder OrderTo(std::uint32_t ranks) {
  groups::MulticastOrder order;
  order.is_guarded = true;
  for (std::uint32_t i = 0; i < ranks; ++i) {
    order.ranks.push_back({RankIndex(i), "10.0.0.1:" + std::to_string(i)});
  }
  return order;
}

TEST_CASE("orders that a reader could not send go out by another path") {
  constexpr std::uint32_t kNotSent = MulticastResult::kNotSent;
  struct Row {
    const char* name;
    Statuses by_reader;
    std::vector<RankIndex> silent;
    Statuses by_leader;
    Statuses merged;
  };
  const Row rows[] = {
      {"all answered", {200, 202, 409}, {}, {}, {200, 202, 409}},
      {"one unanswered", {200, 0, 202}, {RankIndex(1)}, {202}, {200, 202, 202}},
      {"may have reached the rank",
       {200, 0, 202},
       {RankIndex(1)},
       {kNotSent},
       {200, 0, 202}},
      {"two ranks out of reach",
       {kNotSent, 202, kNotSent},
       {RankIndex(0), RankIndex(2)},
       {202, 200},
       {202, 202, 200}},
      {"out of reach for the leader as well",
       {202, kNotSent, 202},
       {RankIndex(1)},
       {kNotSent},
       {202, kNotSent, 202}},
      {"the leader answers for fewer ranks",
       {kNotSent, kNotSent, 202},
       {RankIndex(0), RankIndex(1)},
       {202},
       {202, kNotSent, 202}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MulticastResult result;
    result.statuses = row.by_reader;
    const groups::MulticastOrder rest = OrderForSilent(OrderTo(3), result);
    CHECK(rest.is_guarded);
    std::vector<RankIndex> ranks;
    for (const groups::RankAddress& rank : rest.ranks) {
      ranks.push_back(rank.rank);
    }
    CHECK(ranks == row.silent);
    MulticastResult second;
    second.statuses = row.by_leader;
    MergeSilent(second, result);
    CHECK(result.statuses == row.merged);
  }
}

}  // namespace
}  // namespace bilberryspool::control_node
