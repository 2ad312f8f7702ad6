#include "libs/attempts/claim_holder.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::attempts {

ClaimHolder::ClaimHolder(ClaimHolderOptions options,
                         NodeId self,
                         Incarnation incarnation,
                         bool first_start,
                         TimePoint started)
    : options_(options),
      self_(std::move(self)),
      incarnation_(incarnation),
      abstains_until_(first_start ? started : started + options.window) {
#if defined(BILBERRYSPOOL_MUTATION_HOLDER_NO_ABSTAIN)
  abstains_until_ = started;
#endif
}

bool ClaimHolder::Import(const LedgerExport& ledger, TimePoint now) {
  if (ledger.holder != self_ || ledger.incarnation.Next() != incarnation_ ||
      !entries_.empty()) {
    return false;
  }
  for (const LedgerEntry& entry : ledger.entries) {
    // The time between the stop and the restart is unknown, so the age restarts
    // at zero: remembering an entry for too long is harmless.
    Stored& stored = entries_[entry.key];
    stored.entry = entry;
    kept_bytes_ += entry.outcome.body.value_or("").size();
    TouchEntry(stored, now);
  }
  abstains_until_ = now;
  return true;
}

LedgerExport ClaimHolder::StopAndExport(TimePoint now) {
  stopped_ = true;
  LedgerExport ledger{self_, incarnation_, {}};
  if (abstains(now)) {
    // An incomplete ledger must not end the abstaining of the next incarnation;
    // incarnation 0 makes its import fail.
    ledger.incarnation = Incarnation(0);
    return ledger;
  }
  Expire(now);
  for (const auto& [key, stored] : entries_) {
    LedgerEntry& entry = ledger.entries.emplace_back(stored.entry);
    entry.age = now - stored.touched;
  }
  return ledger;
}

ClaimAnswer ClaimHolder::Claim(const ClaimRequest& request, TimePoint now) {
  Expire(now);
  return {request.key, request.claimant, request.round, self_,
          Decide(request, now)};
}

ReleaseAnswer ClaimHolder::Release(const ReleaseClaim& release, TimePoint now) {
  Expire(now);
  ReleaseAnswer answer{release, self_, false};
  const auto found = entries_.find(release.key);
  if (found == entries_.end() || stopped_) {
    return answer;
  }
  LedgerEntry& entry = found->second.entry;
  if (entry.claimant != release.claimant || entry.round > release.round ||
      entry.state == LedgerEntry::State::kFinished) {
    return answer;
  }
  answer.released = true;
  const LedgerEntry::State next = release.closing
                                      ? LedgerEntry::State::kClosing
                                      : LedgerEntry::State::kReleased;
  if (entry.state < next) {
    entry.state = next;
    entry.round = release.round;
    TouchEntry(found->second, now);
  }
  return answer;
}

void ClaimHolder::Finish(const FinishClaim& finish, TimePoint now) {
  const auto found = entries_.find(finish.key);
  if (found == entries_.end() ||
      found->second.entry.claimant != finish.claimant ||
      found->second.entry.state != LedgerEntry::State::kClaimed) {
    return;
  }
  found->second.entry.state = LedgerEntry::State::kFinished;
  KeepOutcome(found->second.entry, finish.outcome);
  TouchEntry(found->second, now);
}

void ClaimHolder::AdoptRoster(RosterVersion version) {
  roster_ = std::max(roster_, version);
}

bool ClaimHolder::abstains(TimePoint now) const {
  return now < abstains_until_;
}

bool ClaimHolder::CanVote(RosterVersion roster, TimePoint now) const {
  return !ReasonToAbstain(roster, now).has_value();
}

ClaimVerdict ClaimHolder::Decide(const ClaimRequest& request, TimePoint now) {
  const std::optional<ClaimAbstained> abstained =
      ReasonToAbstain(request.roster, now);
  if (abstained.has_value()) {
    return *abstained;
  }
  const auto found = entries_.find(request.key);
  if (found == entries_.end()) {
    return Add(request, now);
  }
  LedgerEntry& entry = found->second.entry;
  const bool same_claimant = entry.claimant == request.claimant;
  if (entry.state == LedgerEntry::State::kReleased && !same_claimant) {
    return GrantClaim(request, found->second, now);
  }
  if (entry.fingerprint != request.fingerprint) {
    return ClaimMismatch{};
  }
  if (entry.state == LedgerEntry::State::kFinished) {
    return ClaimFinished{entry.outcome};
  }
  const bool closing = entry.state == LedgerEntry::State::kClosing &&
                       now - found->second.touched < options_.closing_limit;
  const bool taken_over = request.takeover.has_value() && !closing &&
                          request.takeover->from == entry.claimant &&
                          request.takeover->through >= entry.round;
  if (taken_over) {
    return GrantClaim(request, found->second, now);
  }
  // A late frame of an older round, or of a claim that was released, must not
  // count as a vote.
  if (!same_claimant || entry.state != LedgerEntry::State::kClaimed ||
      request.round < entry.round) {
    return ClaimHeld{entry.claimant, entry.round, entry.attempt};
  }
  if (request.round > entry.round) {
    entry.round = request.round;
    entry.attempt = request.attempt;
    TouchEntry(found->second, now);
  }
  return ClaimGranted{};
}

std::optional<ClaimAbstained> ClaimHolder::ReasonToAbstain(
    RosterVersion roster,
    TimePoint now) const {
  if (stopped_) {
    return ClaimAbstained{AbstainReason::kStopped, Duration{}};
  }
  if (abstains(now)) {
    return ClaimAbstained{AbstainReason::kRestarted, abstains_until_ - now};
  }
  if (roster < roster_) {
    return ClaimAbstained{AbstainReason::kStaleRoster, Duration{}};
  }
  return std::nullopt;
}

ClaimVerdict ClaimHolder::Add(const ClaimRequest& request, TimePoint now) {
  if (entries_.size() >= options_.max_entries) {
    const Duration until_oldest_expires =
        touches_.empty() ? options_.window
                         : touches_.front().at + options_.window - now;
    return ClaimAbstained{AbstainReason::kFull, until_oldest_expires};
  }
  return GrantClaim(request, entries_[request.key], now);
}

ClaimVerdict ClaimHolder::GrantClaim(const ClaimRequest& request,
                                     Stored& stored,
                                     TimePoint now) {
  stored.entry = LedgerEntry{request.key, request.fingerprint, request.claimant,
                             request.round};
  stored.entry.attempt = request.attempt;
  TouchEntry(stored, now);
  return ClaimGranted{};
}

void ClaimHolder::Expire(TimePoint now) {
  while (!touches_.empty() && touches_.front().at + options_.window <= now) {
    const Touch touch = std::move(touches_.front());
    touches_.pop_front();
    const auto found = entries_.find(touch.key);
    if (found == entries_.end() || found->second.touched != touch.at) {
      continue;
    }
    kept_bytes_ -= found->second.entry.outcome.body.value_or("").size();
    entries_.erase(found);
  }
}

void ClaimHolder::TouchEntry(Stored& stored, TimePoint now) {
  stored.touched = now;
  touches_.push_back({now, stored.entry.key});
}

void ClaimHolder::KeepOutcome(LedgerEntry& entry, const Outcome& outcome) {
  entry.outcome.status = outcome.status;
  if (!outcome.body.has_value()) {
    return;
  }
  const std::size_t size = outcome.body->size();
  if (size > options_.max_kept_body_bytes ||
      kept_bytes_ + size > options_.max_kept_total_bytes) {
    return;
  }
  entry.outcome.body = outcome.body;
  kept_bytes_ += size;
}

}  // namespace bilberryspool::attempts
