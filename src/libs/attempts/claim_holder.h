// The ledger of claims on an entry that holds votes for some request keys.
//
// It guards against a non-idempotent request that runs twice because its caller
// sent it again through another entry: the first claim of a key is granted, and
// every other one is told who has it or what came of it. The ledger is in
// memory only. A holder that restarted has forgotten its votes, so it abstains
// until everything that it may have granted before is past its window; a
// holder that is full refuses new claims and never forgets inside the window.

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
  // longest deadline of a request plus the validity of an admission token.
  Duration window = Seconds(600);
  // How long a claim that is closing goes to no other send. It must exceed the
  // entries' claim timeout.
  Duration closing_limit = Seconds(2);
  // Keys remembered at the same time.
  std::size_t max_entries = 20000;
  // Largest answer kept, and all of them, in bytes.
  std::size_t max_kept_body_bytes = 1024;
  std::size_t max_kept_total_bytes = 8U << 20U;
};

// One key of the ledger.
struct LedgerEntry {
  // kClosing: nothing will run, and the caller is being told so.
  enum class State { kClaimed, kClosing, kReleased, kFinished };

  RequestKey key;
  Fingerprint fingerprint;
  Claimant claimant;
  ClaimRound round;
  State state = State::kClaimed;
  std::optional<AttemptRef> attempt;
  Outcome outcome;
  // Time since it was last touched; only meaningful in an export.
  Duration age{};
};

// What a holder that is stopped on purpose hands to its next incarnation.
struct LedgerExport {
  NodeId holder;
  Incarnation incarnation;
  std::vector<LedgerEntry> entries;
};

class ClaimHolder {
 public:
  // `first_start` says that the deployment has never run, so that there is
  // nothing to have forgotten.
  ClaimHolder(ClaimHolderOptions options,
              NodeId self,
              Incarnation incarnation,
              bool first_start,
              TimePoint started);

  // Takes over the ledger of the incarnation right before this one and ends
  // the abstaining. False, and nothing changes, where the export is another's
  // or an incarnation lies between.
  bool Import(const LedgerExport& ledger, TimePoint now);

  // Stops granting for good and returns the ledger: after a vote that the
  // export lacks, the next incarnation would vote twice.
  LedgerExport StopAndExport(TimePoint now);

  ClaimAnswer Claim(const ClaimRequest& request, TimePoint now);
  ReleaseAnswer Release(const ReleaseClaim& release, TimePoint now);
  void Finish(const FinishClaim& finish, TimePoint now);

  // A newer roster is in force: claims made under an older one are refused.
  void AdoptRoster(RosterVersion version);

  std::size_t size() const { return entries_.size(); }
  std::size_t kept_bytes() const { return kept_bytes_; }
  bool abstains(TimePoint now) const;
  // Whether it would vote on a claim made under that roster.
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
  // One for each touch, oldest first; an entry expires with its last one.
  std::deque<Touch> touches_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_CLAIM_HOLDER_H_
