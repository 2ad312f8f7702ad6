#include "libs/attempts/claim_holder.h"

#include <doctest/doctest.h>

#include <string>

namespace bilberryspool::attempts {
namespace {

const RequestKey kKey{Workspace("w"), RequestId("r")};

ClaimRequest ClaimBy(const std::string& entry,
                     std::uint64_t round = 1,
                     std::uint64_t fingerprint = 7) {
  return {kKey,
          Fingerprint(fingerprint),
          {NodeId(entry), Incarnation(1), ClaimNumber(1)},
          ClaimRound(round),
          std::nullopt,
          RosterVersion(1)};
}

class HolderFixture {
 public:
  template <typename Verdict>
  bool Answers(const ClaimRequest& request, Duration at) {
    return std::holds_alternative<Verdict>(
        holder.Claim(request, TimeAt(at)).verdict);
  }

  ClaimHolder holder{{.window = Seconds(60), .max_entries = 2},
                     NodeId("h"),
                     Incarnation(2),
                     true,
                     TimeAt({})};
};

TEST_CASE_FIXTURE(HolderFixture, "one claimant holds a key for the window") {
  CHECK(Answers<ClaimGranted>(ClaimBy("e1"), Seconds(0)));
  CHECK(Answers<ClaimGranted>(ClaimBy("e1"), Seconds(1)));
  CHECK(Answers<ClaimHeld>(ClaimBy("e2"), Seconds(1)));
  CHECK(Answers<ClaimMismatch>(ClaimBy("e2", 1, 8), Seconds(1)));
  CHECK(Answers<ClaimGranted>(ClaimBy("e1", 2), Seconds(30)));
  CHECK(Answers<ClaimHeld>(ClaimBy("e1", 1), Seconds(31)));
  CHECK(Answers<ClaimHeld>(ClaimBy("e2"), Seconds(89)));
  CHECK(Answers<ClaimGranted>(ClaimBy("e2"), Seconds(90)));
}

TEST_CASE_FIXTURE(HolderFixture, "a released key goes to the next claimant") {
  const Claimant first = ClaimBy("e1").claimant;
  CHECK(Answers<ClaimGranted>(ClaimBy("e1"), {}));
  holder.Release({kKey, ClaimBy("e2").claimant, ClaimRound(1)}, TimeAt({}));
  CHECK(Answers<ClaimHeld>(ClaimBy("e2"), {}));
  holder.Release({kKey, first, ClaimRound(1)}, TimeAt({}));
  CHECK(Answers<ClaimHeld>(ClaimBy("e1"), {}));
  CHECK(Answers<ClaimGranted>(ClaimBy("e2", 1, 8), {}));
}

// Guards against "not run" for a request that ran a moment before the answer.
// It comes about if a claim is free before its caller is answered: another send
// of the key gets the claim and runs.
TEST_CASE_FIXTURE(HolderFixture,
                  "a closing claim is granted to no other send") {
  const Claimant first = ClaimBy("e1").claimant;
  ClaimRequest takeover = ClaimBy("e2");
  takeover.takeover = Takeover{first, ClaimRound(1)};
  CHECK(Answers<ClaimGranted>(ClaimBy("e1"), {}));
  const ReleaseClaim closing{kKey, first, ClaimRound(1), true};
  CHECK(holder.Release(closing, TimeAt({})).released);
  CHECK(Answers<ClaimHeld>(takeover, Seconds(1)));
  CHECK(Answers<ClaimHeld>(ClaimBy("e1", 2), Seconds(1)));
  CHECK(Answers<ClaimHeld>(ClaimBy("e2"), Seconds(2)));
  CHECK(Answers<ClaimGranted>(takeover, Seconds(2)));
  CHECK_FALSE(holder.Release(closing, TimeAt(Seconds(2))).released);
}

TEST_CASE_FIXTURE(HolderFixture, "a finished key repeats its outcome") {
  CHECK(Answers<ClaimGranted>(ClaimBy("e1"), {}));
  const Outcome outcome{200, "done"};
  holder.Finish({kKey, ClaimBy("e2").claimant, {500, "no"}}, TimeAt({}));
  holder.Finish({kKey, ClaimBy("e1").claimant, outcome}, TimeAt({}));
  const ClaimAnswer answer = holder.Claim(ClaimBy("e2"), TimeAt(Seconds(59)));
  CHECK(answer.verdict == ClaimVerdict(ClaimFinished{outcome}));
  CHECK(holder.kept_bytes() == 4);
  CHECK(Answers<ClaimGranted>(ClaimBy("e2"), Seconds(60)));
  CHECK(holder.kept_bytes() == 0);
}

TEST_CASE_FIXTURE(HolderFixture,
                  "a full holder refuses new claims and keeps its entries") {
  for (const char* id : {"r1", "r2", "r3"}) {
    ClaimRequest request = ClaimBy("e1");
    request.key.request = RequestId(id);
    const bool fits = std::string(id) != "r3";
    CHECK(Answers<ClaimGranted>(request, {}) == fits);
    CHECK(Answers<ClaimAbstained>(request, {}) != fits);
  }
  CHECK(holder.size() == 2);
}

// Guards against a request that runs twice, through two entries, on two
// disjoint majorities. It comes about after a change of the roster: an entry
// that has not received the new roster claims at the old holders, another one
// at the new holders.
TEST_CASE_FIXTURE(HolderFixture,
                  "a holder abstains from a claim under an older roster") {
  holder.AdoptRoster(RosterVersion(2));
  CHECK(Answers<ClaimAbstained>(ClaimBy("e1"), {}));
}

// Guards against a request that runs twice after a holder restarted. It comes
// about if a holder that lost its ledger grants the same claim a second time.
TEST_CASE("a restarted holder abstains unless it gets its ledger back") {
  const ClaimHolderOptions options{.window = Seconds(60)};
  const auto next = [&](std::uint64_t incarnation) {
    return ClaimHolder(options, NodeId("h"), Incarnation(incarnation), false,
                       TimeAt({}));
  };
  ClaimHolder before(options, NodeId("h"), Incarnation(1), true, TimeAt({}));
  before.Claim(ClaimBy("e1"), TimeAt({}));
  const LedgerExport ledger = before.StopAndExport(TimeAt({}));
  const auto verdict = [&](ClaimHolder& holder, Duration at) {
    return holder.Claim(ClaimBy("e2"), TimeAt(at)).verdict;
  };
  CHECK(std::holds_alternative<ClaimAbstained>(verdict(before, {})));

  ClaimHolder empty = next(2);
  CHECK(std::holds_alternative<ClaimAbstained>(verdict(empty, Seconds(59))));
  CHECK(std::holds_alternative<ClaimGranted>(verdict(empty, Seconds(60))));

  ClaimHolder skipped = next(3);
  CHECK_FALSE(skipped.Import(ledger, TimeAt({})));

  ClaimHolder restored = next(2);
  CHECK(restored.Import(ledger, TimeAt({})));
  CHECK(std::holds_alternative<ClaimHeld>(verdict(restored, {})));

  const LedgerExport incomplete = next(2).StopAndExport(TimeAt({}));
  ClaimHolder third = next(3);
  CHECK_FALSE(third.Import(incomplete, TimeAt({})));
}

}  // namespace
}  // namespace bilberryspool::attempts
