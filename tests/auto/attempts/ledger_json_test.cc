#include "libs/attempts/ledger_json.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bilberryspool::attempts {
namespace {

ClaimRequest Request(const std::string& id) {
  const AttemptRef attempt{AttemptId(id), TargetId("t"), {}};
  return {{Workspace("w"), RequestId(id)},
          Fingerprint(~0ULL),
          {NodeId("e"), Incarnation(7), ClaimNumber(1)},
          ClaimRound(1),
          attempt,
          RosterVersion(1),
          {}};
}

// Guards against a request that runs twice around a planned restart of its
// holders. It comes about if the votes are lost, or only partly read back,
// between the stop and the start of the holder, and the caller sends the
// request again.
TEST_CASE("a stored ledger keeps its votes") {
  ClaimHolder before({}, NodeId("h"), Incarnation(1), true, TimeAt({}));
  before.Claim(Request("r1"), TimeAt({}));
  before.Claim(Request("r2"), TimeAt({}));
  const std::string text =
      boost::json::serialize(ToJson(before.StopAndExport(TimeAt(Seconds(1)))));

  const auto ledger = LedgerFromJson(boost::json::parse(text));
  REQUIRE(ledger.has_value());
  ClaimHolder after({}, NodeId("h"), Incarnation(2), false, TimeAt({}));
  REQUIRE(after.Import(*ledger, TimeAt(Seconds(2))));
  CHECK(after.size() == 2);
  ClaimRequest other = Request("r1");
  other.claimant.entry = NodeId("e2");
  const ClaimAnswer answer = after.Claim(other, TimeAt(Seconds(3)));
  CHECK(std::holds_alternative<ClaimHeld>(answer.verdict));
}

TEST_CASE("a damaged ledger is rejected") {
  ClaimHolder holder({}, NodeId("h"), Incarnation(1), true, TimeAt({}));
  holder.Claim(Request("r1"), TimeAt({}));
  const std::string text =
      boost::json::serialize(ToJson(holder.StopAndExport(TimeAt({}))));
  for (const char* name :
       {"finish", "fingerprint", "round", "state", "age_us", "holder"}) {
    std::string damaged = text;
    damaged[damaged.find(name)] = 'x';
    CAPTURE(name);
    CHECK_FALSE(LedgerFromJson(boost::json::parse(damaged)).has_value());
  }
}

}  // namespace
}  // namespace bilberryspool::attempts
