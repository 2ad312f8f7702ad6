// The claim of one send of a request: builds the messages to the holders and
// counts their votes.
//
// It prevents a claim from being considered won on votes of another round or
// another send, or on votes that were counted twice.

#ifndef LIBS_ATTEMPTS_CLAIM_COORDINATOR_H_
#define LIBS_ATTEMPTS_CLAIM_COORDINATOR_H_

#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "libs/attempts/messages.h"
#include "libs/attempts/roster.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

// Too few votes have arrived to decide.
struct ClaimPending {};
// A majority of each holder set granted this round.
struct ClaimWon {};
// Another send of the key has the claim, or had it.
struct ClaimLost {
  ClaimHeld held;
};
// No majority is possible: holders abstain, are unreachable, or voted for
// different sends.
struct ClaimUnavailable {
  Duration retry_after;
};
using ClaimState = std::variant<ClaimPending,
                                ClaimWon,
                                ClaimLost,
                                ClaimFinished,
                                ClaimMismatch,
                                ClaimUnavailable>;

class ClaimCoordinator {
 public:
  ClaimCoordinator(RequestKey key,
                   Fingerprint fingerprint,
                   Claimant claimant,
                   std::vector<HolderSet> sets);

  // Replaces the holder sets for the following rounds.
  void SetHolders(std::vector<HolderSet> sets) { sets_ = std::move(sets); }
  // Whether the claim needs a newer roster: none is known here, or a holder
  // knows a newer one.
  bool NeedsNewerRoster() const;

  // Starts the next round, for `attempt`, and discards all votes.
  void StartRound(std::optional<AttemptRef> attempt,
                  std::optional<Takeover> takeover);

  // The message of the current round, identical for all holders.
  ClaimRequest request() const;

  // All holders, without duplicates.
  std::vector<NodeId> Holders() const;
  // Holders that have not answered in this round.
  std::vector<NodeId> UnansweredHolders() const;

  // Counts an answer. Returns false and ignores it if it belongs to another
  // claim or round.
  bool Handle(const ClaimAnswer& answer);

  // The state of the claim by the votes so far. With `timed_out`, holders that
  // have not answered count as unreachable.
  ClaimState State(bool timed_out) const;

  ReleaseClaim release(bool closing) const {
    return {key_, claimant_, round_, closing};
  }

  // Counts an answer to a closing release. Returns false and ignores all
  // others.
  bool Handle(const ReleaseAnswer& answer);
  // Whether the holders confirmed that this send still had the claim and that
  // it is closed. If true, nothing ran under another claim of the key, nor will
  // for a short time. None while too few answers have arrived to decide.
  std::optional<bool> IsClosed() const;

  FinishClaim finish(Outcome outcome) const;

 private:
  // Votes of one holder set. `open` counts the holders that have not answered
  // yet.
  struct Count {
    std::size_t granted = 0;
    std::size_t open = 0;
  };

  Count CountSet(const HolderSet& set, bool timed_out) const;
  ClaimState LostState() const;
  const ClaimHeld* LatestHeld() const;
  template <typename Verdict>
  const Verdict* FirstVote() const;

  RequestKey key_;
  Fingerprint fingerprint_;
  Claimant claimant_;
  std::vector<HolderSet> sets_;
  ClaimRound round_;
  std::optional<AttemptRef> attempt_;
  std::optional<Takeover> takeover_;
  std::map<NodeId, ClaimVerdict> votes_;
  std::map<NodeId, bool> releases_;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_CLAIM_COORDINATOR_H_
