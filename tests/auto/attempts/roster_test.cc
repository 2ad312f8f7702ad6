#include "libs/attempts/roster.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace bilberryspool::attempts {
namespace {

RequestKey Key(int number) {
  return {Workspace("w"), RequestId(std::to_string(number))};
}

Roster MakeRoster(std::uint64_t version, int members, int domains) {
  Roster roster{RosterVersion(version), {}};
  for (int i = 0; i < members; ++i) {
    roster.members.push_back(
        {NodeId("e" + std::to_string(i)),
         FailureDomain("d" + std::to_string(i % domains))});
  }
  return roster;
}

TEST_CASE("holders are spread over failure domains and over entries") {
  struct Row {
    int members;
    int domains;
    std::size_t holders;
    std::size_t distinct_domains;
  };
  const Row rows[] = {
      {9, 3, 3, 3}, {7, 2, 3, 2}, {3, 1, 3, 1}, {2, 2, 2, 2}, {0, 1, 0, 0}};
  for (const Row& row : rows) {
    const Roster roster = MakeRoster(1, row.members, row.domains);
    std::set<NodeId> used;
    for (int key = 0; key < 200; ++key) {
      const HolderSet set = PickHolders(Key(key), roster);
      CHECK(set.holders.size() == row.holders);
      std::set<FailureDomain> domains;
      for (const RosterMember& member : roster.members) {
        for (const NodeId& holder : set.holders) {
          if (holder == member.node) {
            domains.insert(member.domain);
          }
        }
      }
      CHECK(domains.size() == row.distinct_domains);
      used.insert(set.holders.begin(), set.holders.end());
    }
    CHECK(used.size() == static_cast<std::size_t>(row.members));
  }
}

TEST_CASE(
    "a replaced roster stays in effect for a window, an older one is ignored") {
  RosterHistory history(Seconds(60));
  CHECK(history.HoldersOf(Key(1), TimeAt({})).empty());
  history.Adopt(MakeRoster(2, 9, 3), TimeAt({}));
  history.Adopt(MakeRoster(1, 3, 3), TimeAt({}));
  CHECK(history.version() == RosterVersion(2));
  CHECK(history.HoldersOf(Key(1), TimeAt({})).size() == 1);
  history.Adopt(MakeRoster(3, 8, 3), TimeAt(Seconds(10)));
  CHECK(history.HoldersOf(Key(1), TimeAt(Seconds(69))).size() == 2);
  const auto sets = history.HoldersOf(Key(1), TimeAt(Seconds(70)));
  REQUIRE(sets.size() == 1);
  CHECK(sets[0].version == RosterVersion(3));
}

}  // namespace
}  // namespace bilberryspool::attempts
