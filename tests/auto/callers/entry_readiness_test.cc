// Tests of when an entry reports ready.

#include "plugins/callers/entry_readiness.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace bilberryspool::callers {
namespace {

using attempts::Roster;
using attempts::RosterVersion;

const ServiceId kEngine("engine");
const ServiceId kOrders("orders");

Roster MakeRoster(std::uint64_t version,
                  const std::vector<std::pair<std::string, std::string>>& all) {
  Roster roster{RosterVersion(version), {}};
  for (const auto& [node, domain] : all) {
    roster.members.push_back({NodeId(node), FailureDomain(domain)});
  }
  return roster;
}

const Roster kThree = MakeRoster(3, {{"a", "x"}, {"b", "y"}, {"c", "z"}});

EntryReadiness ReadinessWith(const Roster& roster) {
  EntryReadiness readiness{EntryReadinessOptions{}};
  readiness.SetAllowed({kEngine, kOrders}, TimeAt(Seconds(1)));
  readiness.SetServed({kEngine, kOrders});
  readiness.SetRoster(roster);
  return readiness;
}

// Guards against callers that are sent to an entry before it can serve them.
TEST_CASE("an entry is ready once all inputs are present, in any order") {
  EntryReadiness readiness{EntryReadinessOptions{}};
  const TimePoint now = TimeAt(Seconds(1));
  CHECK(readiness.FirstMissing() == MissingInput::kConfiguration);
  readiness.SetServed({kEngine, kOrders});
  CHECK_FALSE(readiness.IsReady(now));
  readiness.SetAllowed({kEngine, kOrders}, now);
  CHECK(readiness.FirstMissing() == MissingInput::kRoster);
  readiness.SetRoster(kThree);
  CHECK(readiness.FirstMissing() == MissingInput::kVotes);
  readiness.SetVote(NodeId("a"), RosterVersion(3), true);
  CHECK_FALSE(readiness.IsReady(now));
  readiness.SetVote(NodeId("b"), RosterVersion(3), true);
  CHECK(readiness.FirstMissing() == MissingInput::kNothing);
  CHECK(readiness.IsReady(now));
}

// Guards against a first request that fails because the entry has not yet
// received the targets of other failure domains.
TEST_CASE("an entry that knows no target of a service is not ready") {
  EntryReadiness readiness = ReadinessWith(kThree);
  for (const char* holder : {"a", "b", "c"}) {
    readiness.SetVote(NodeId(holder), RosterVersion(3), true);
  }
  readiness.SetServed({kEngine});
  CHECK(readiness.FirstMissing() == MissingInput::kTargets);
  CHECK_FALSE(readiness.IsReady(TimeAt(Seconds(2))));
}

// Guards against requests that are refused because the holders know a newer
// roster than the one the entry counted votes for.
TEST_CASE("votes under an older roster do not count") {
  EntryReadiness readiness = ReadinessWith(kThree);
  readiness.SetRoster(MakeRoster(4, {{"a", "x"}, {"b", "y"}, {"c", "z"}}));
  for (const char* holder : {"a", "b", "c"}) {
    readiness.SetVote(NodeId(holder), RosterVersion(3), true);
  }
  CHECK(readiness.FirstMissing() == MissingInput::kVotes);
  CHECK(readiness.HoldersWithoutVote().size() == 3);
  readiness.SetRoster(kThree);
  CHECK(readiness.roster() == RosterVersion(4));
}

// Guards against an entry that never reports ready because it is cut off from a
// failure domain.
TEST_CASE("an entry with missing inputs is ready after the maximum wait") {
  EntryReadiness readiness = ReadinessWith(kThree);
  const Duration max_wait = EntryReadinessOptions{}.max_wait;
  CHECK_FALSE(readiness.IsReady(TimeAt(Seconds(1)) + max_wait / 2));
  CHECK(readiness.IsReady(TimeAt(Seconds(1)) + max_wait));
  CHECK(readiness.FirstMissing() == MissingInput::kVotes);
}

TEST_CASE("an entry that was ready stays ready") {
  EntryReadiness readiness = ReadinessWith(kThree);
  for (const char* holder : {"a", "b"}) {
    readiness.SetVote(NodeId(holder), RosterVersion(3), true);
  }
  REQUIRE(readiness.IsReady(TimeAt(Seconds(2))));
  readiness.SetRoster(MakeRoster(5, {{"d", "x"}}));
  CHECK(readiness.IsReady(TimeAt(Seconds(2))));
}

struct Row {
  const char* name;
  Roster roster;
  std::vector<std::string> voting;
  bool is_enough;
};

TEST_CASE("enough votes means a majority of the holders of every key") {
  const Roster two = MakeRoster(2, {{"a", "x"}, {"b", "y"}});
  const Roster five = MakeRoster(
      2, {{"a", "x"}, {"b", "y"}, {"c", "z"}, {"d", "x"}, {"e", "y"}});
  const Roster near = MakeRoster(2, {{"a", "x"}, {"b", "x"}, {"c", "x"}});
  const std::vector<Row> rows = {
      {"one of one", MakeRoster(2, {{"a", "x"}}), {"a"}, true},
      {"none of one", MakeRoster(2, {{"a", "x"}}), {}, false},
      {"one of two", two, {"a"}, false},
      {"two of two", two, {"a", "b"}, true},
      {"a whole domain silent", five, {"b", "c", "e"}, true},
      {"two domains silent in part", five, {"a", "c", "d"}, true},
      {"one of each of two domains silent", five, {"a", "b", "c"}, false},
      {"one domain, two of three", near, {"a", "b"}, true},
      {"one domain, one of three", near, {"a"}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EntryReadiness readiness = ReadinessWith(row.roster);
    for (const std::string& holder : row.voting) {
      readiness.SetVote(NodeId(holder), RosterVersion(2), true);
    }
    CHECK((readiness.FirstMissing() == MissingInput::kNothing) ==
          row.is_enough);
  }
}

}  // namespace
}  // namespace bilberryspool::callers
