// The ledger of claims on an entry that holds votes for some request keys.
//
// It prevents a non-idempotent request from running twice because its caller
// sent it again through another entry: the first claim of a key is granted, and
// every other one is answered with the current claimant or the outcome. The
// ledger is in memory only. A holder that restarted has lost its votes, so it
// abstains until everything that it may have granted before is past its window.
// A holder that is full refuses new claims and never drops an entry inside the
// window.

#ifndef LIBS_ATTEMPTS_CLAIM_HOLDER_H_
#define LIBS_ATTEMPTS_CLAIM_HOLDER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "libs/attempts/messages.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

struct ClaimHolderOptions {
  // How long a key is remembered after it was last touched. It must exceed the
  // maximum deadline of a request plus the validity of an admission token.
  Duration window = Seconds(600);
  // How long a closing claim is withheld from all other sends. It must exceed
  // the entries' claim timeout.
  Duration closing_limit = Seconds(2);
  // Maximum number of keys remembered at the same time.
  std::size_t max_entries = 20000;
  // Maximum size of one kept answer, and of all kept answers together, in
  // bytes.
  std::size_t max_kept_body_bytes = 1024;
  std::size_t max_kept_total_bytes = 8U << 20U;
};

// The ledger's entry for one key.
struct LedgerEntry {
  // kClosing: nothing will run, and the caller is being answered so.
  enum class State { kClaimed, kClosing, kReleased, kFinished };

  RequestKey key;
  Fingerprint fingerprint;
  Claimant claimant;
  ClaimRound round;
  State state = State::kClaimed;
  std::optional<AttemptRef> attempt;
  Outcome outcome;
  // Time since it was last touched; only set in an export.
  Duration age{};
};

// The state that a holder hands to its next incarnation at a planned stop.
struct LedgerExport {
  NodeId holder;
  Incarnation incarnation;
  std::vector<LedgerEntry> entries;
};

class ClaimHolder {
 public:
  // `first_start` says that the deployment has never run before, so that no
  // votes can have been lost and the holder need not abstain.
  ClaimHolder(ClaimHolderOptions options,
              NodeId self,
              Incarnation incarnation,
              bool first_start,
              TimePoint started);

  // Loads the ledger of the incarnation right before this one and ends the
  // abstaining. Returns false and changes nothing if the export is from another
  // holder or if an incarnation lies in between.
  bool Import(const LedgerExport& ledger, TimePoint now);

  // Stops granting permanently and returns the ledger. Granting must end here:
  // after a vote that is missing in the export, the next incarnation would vote
  // a second time.
  LedgerExport StopAndExport(TimePoint now);

  ClaimAnswer Claim(const ClaimRequest& request, TimePoint now);
  ReleaseAnswer Release(const ReleaseClaim& release, TimePoint now);
  void Finish(const FinishClaim& finish, TimePoint now);

  // Notifies the holder of a newer roster: claims made under an older one are
  // refused.
  void AdoptRoster(RosterVersion version);

  std::size_t size() const { return entries_.size(); }
  std::size_t kept_bytes() const { return kept_bytes_; }
  bool abstains(TimePoint now) const;
  // Whether it votes on a claim that is made under that roster.
  bool CanVote(RosterVersion roster, TimePoint now) const;

 private:
  struct Stored {
    LedgerEntry entry;
    TimePoint touched;
  };
  struct Touch {
    TimePoint at;
    RequestKey key;
  };

  ClaimVerdict Decide(const ClaimRequest& request, TimePoint now);
  std::optional<ClaimAbstained> ReasonToAbstain(RosterVersion roster,
                                                TimePoint now) const;
  ClaimVerdict Add(const ClaimRequest& request, TimePoint now);
  ClaimVerdict GrantClaim(const ClaimRequest& request,
                          Stored& stored,
                          TimePoint now);
  void Expire(TimePoint now);
  void TouchEntry(Stored& stored, TimePoint now);
  void KeepOutcome(LedgerEntry& entry, const Outcome& outcome);

  ClaimHolderOptions options_;
  NodeId self_;
  Incarnation incarnation_;
  TimePoint abstains_until_;
  bool stopped_ = false;
  RosterVersion roster_;
  std::map<RequestKey, Stored> entries_;
  // One element for each touch, oldest first; an entry expires with its last
  // one.
  std::deque<Touch> touches_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_CLAIM_HOLDER_H_
