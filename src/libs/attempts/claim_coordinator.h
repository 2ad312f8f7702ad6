// One claim of one send of a request: asks the holders, counts their votes.
//
// It guards against a claim that is thought to be won on votes of another
// round, of another send, or counted twice.

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

// Too few votes are in.
struct ClaimPending {};
// A majority of each holder set granted this round.
struct ClaimWon {};
// Another send of the key has it, or had it.
struct ClaimLost {
  ClaimHeld held;
};
// No majority can be had: holders abstain, are cut off, or voted for several.
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

  // Other holders, for the rounds to come.
  void SetHolders(std::vector<HolderSet> sets) { sets_ = std::move(sets); }
  // Whether the claim lacks a newer roster: none is known here, or a holder
  // knows a newer one.
  bool NeedsNewerRoster() const;

  // Starts the next round, for `attempt`, and forgets all votes.
  void StartRound(std::optional<AttemptRef> attempt,
                  std::optional<Takeover> takeover);

  // The message of the present round; the same for each holder.
  ClaimRequest request() const;

  // All holders, each once.
  std::vector<NodeId> Holders() const;
  // Those that have not answered this round.
  std::vector<NodeId> UnansweredHolders() const;

  // Counts an answer; others' and other rounds' are ignored (false).
  bool Handle(const ClaimAnswer& answer);

  // What the votes so far mean. With `final` the silent holders are taken as
  // unreachable.
  ClaimState State(bool timed_out) const;

  ReleaseClaim release(bool closing) const {
    return {key_, claimant_, round_, closing};
  }

  // Counts an answer to a release that is closing; others are ignored (false).
  bool Handle(const ReleaseAnswer& answer);
  // Whether the claim is known to be this send's and closed: then nothing ran
  // under another one, or will for a short time. None while answers are
  // missing.
  std::optional<bool> IsClosed() const;

  FinishClaim finish(Outcome outcome) const;

 private:
  // Votes of one holder set.
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
