#include "libs/attempts/messages_json.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <vector>

namespace bilberryspool::attempts {
namespace {

const RequestKey kKey{Workspace("w"), RequestId("r \"1\"")};
const Claimant kClaimant{NodeId("e1"), Incarnation(3),
                         ClaimNumber(1ULL << 63U)};
const AttemptRef kAttempt{
    AttemptId("a"), TargetId("t"),
    AdmissionToken{Incarnation(2), TokenGeneration(1), Epoch(9)}};
const Outcome kOutcome{200, "done"};

// Checks the round trip through text. Then removes each field in turn: parsing
// must fail or, if the field is optional, give a different message. A field of
// the wrong type must make parsing fail.
template <typename Message>
void CheckRoundTrip(const Message& message) {
  const boost::json::value json =
      boost::json::parse(boost::json::serialize(ToJson(message)));
  CHECK(FromJson<Message>(json) == message);
  for (const auto& member : json.as_object()) {
    boost::json::value partial = json;
    partial.as_object().erase(member.key());
    CHECK(FromJson<Message>(partial) != message);
    partial.as_object()[member.key()] = boost::json::array();
    CHECK_FALSE(FromJson<Message>(partial).has_value());
  }
  CHECK_FALSE(FromJson<Message>(boost::json::value(7)).has_value());
}

TEST_CASE("messages round-trip through JSON, malformed ones are rejected") {
  CheckRoundTrip(ClaimRequest{kKey, Fingerprint(1), kClaimant, ClaimRound(2),
                              kAttempt, RosterVersion(4),
                              Takeover{kClaimant, ClaimRound(1)}});
  const std::vector<ClaimVerdict> verdicts = {
      ClaimGranted{},
      ClaimHeld{kClaimant, ClaimRound(2), kAttempt},
      ClaimHeld{kClaimant, ClaimRound(2), std::nullopt},
      ClaimFinished{kOutcome},
      ClaimFinished{{500, std::nullopt}},
      ClaimAbstained{AbstainReason::kStaleRoster, Seconds(2)},
      ClaimMismatch{}};
  for (const ClaimVerdict& verdict : verdicts) {
    CheckRoundTrip(
        ClaimAnswer{kKey, kClaimant, ClaimRound(2), NodeId("h"), verdict});
  }
  CheckRoundTrip(ReleaseClaim{kKey, kClaimant, ClaimRound(2), true});
  CheckRoundTrip(ReleaseAnswer{
      {kKey, kClaimant, ClaimRound(2), false}, NodeId("h"), true});
  CheckRoundTrip(FinishClaim{kKey, kClaimant, kOutcome});
  CheckRoundTrip(StartAttempt{kAttempt, kKey, NodeId("e1"), 12});
  CheckRoundTrip(AttemptRefusal{AttemptId("a"), RefusalReason::kLeaving, true,
                                kAttempt.token, Seconds(1)});
  CheckRoundTrip(SettleRequest{kAttempt, true});
  const std::vector<SettleState> states = {SettledNotRun{}, SettledRunning{},
                                           SettledFinished{kOutcome},
                                           SettledNotSeen{}, SettledUnknown{}};
  for (const SettleState& state : states) {
    CheckRoundTrip(SettleAnswer{AttemptId("a"), state});
  }
}

}  // namespace
}  // namespace bilberryspool::attempts
