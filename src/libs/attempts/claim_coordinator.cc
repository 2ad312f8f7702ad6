#include "libs/attempts/claim_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bilberryspool::attempts {

ClaimCoordinator::ClaimCoordinator(RequestKey key,
                                   Fingerprint fingerprint,
                                   Claimant claimant,
                                   std::vector<HolderSet> sets)
    : key_(std::move(key)),
      fingerprint_(fingerprint),
      claimant_(std::move(claimant)),
      sets_(std::move(sets)) {}

void ClaimCoordinator::StartRound(std::optional<AttemptRef> attempt,
                                  std::optional<Takeover> takeover) {
  round_ = ClaimRound(round_.value() + 1);
  attempt_ = std::move(attempt);
  takeover_ = std::move(takeover);
  votes_.clear();
}

bool ClaimCoordinator::NeedsNewerRoster() const {
  return sets_.empty() ||
         std::any_of(votes_.begin(), votes_.end(), [](const auto& vote) {
           const auto* abstained = std::get_if<ClaimAbstained>(&vote.second);
           return abstained != nullptr &&
                  abstained->reason == AbstainReason::kStaleRoster;
         });
}

ClaimRequest ClaimCoordinator::request() const {
  const RosterVersion version =
      sets_.empty() ? RosterVersion(0) : sets_.back().version;
  return {key_, fingerprint_, claimant_, round_, attempt_, version, takeover_};
}

std::vector<NodeId> ClaimCoordinator::Holders() const {
  std::set<NodeId> holders;
  for (const HolderSet& set : sets_) {
    holders.insert(set.holders.begin(), set.holders.end());
  }
  return {holders.begin(), holders.end()};
}

std::vector<NodeId> ClaimCoordinator::UnansweredHolders() const {
  std::vector<NodeId> silent = Holders();
  std::erase_if(silent,
                [&](const NodeId& node) { return votes_.contains(node); });
  return silent;
}

bool ClaimCoordinator::Handle(const ClaimAnswer& answer) {
  if (answer.key != key_ || answer.claimant != claimant_ ||
      answer.round != round_) {
    return false;
  }
  return votes_.emplace(answer.holder, answer.verdict).second;
}

bool ClaimCoordinator::Handle(const ReleaseAnswer& answer) {
  if (answer.release != release(true)) {
    return false;
  }
  return releases_.emplace(answer.holder, answer.released).second;
}

std::optional<bool> ClaimCoordinator::IsClosed() const {
  bool known = true;
  for (const HolderSet& set : sets_) {
    std::size_t own = 0;
    std::size_t open = 0;
    for (const NodeId& holder : set.holders) {
      const auto answer = releases_.find(holder);
      if (answer == releases_.end()) {
        ++open;
        continue;
      }
      own += answer->second ? 1 : 0;
    }
    if (own + open < set.majority()) {
      return false;
    }
    known = known && own >= set.majority();
  }
  return known ? std::optional<bool>(true) : std::nullopt;
}

ClaimState ClaimCoordinator::State(bool timed_out) const {
  if (const auto* finished = FirstVote<ClaimFinished>(); finished != nullptr) {
    return *finished;
  }
  bool won = !sets_.empty();
  bool possible = !sets_.empty();
  for (const HolderSet& set : sets_) {
    const Count count = CountSet(set, timed_out);
    won = won && count.granted >= set.majority();
    possible = possible && count.granted + count.open >= set.majority();
  }
  if (won) {
    return ClaimWon{};
  }
  if (possible) {
    return ClaimPending{};
  }
  return LostState();
}

FinishClaim ClaimCoordinator::finish(Outcome outcome) const {
  return {key_, claimant_, std::move(outcome)};
}

ClaimCoordinator::Count ClaimCoordinator::CountSet(const HolderSet& set,
                                                   bool timed_out) const {
  Count count;
  for (const NodeId& holder : set.holders) {
    const auto vote = votes_.find(holder);
    if (vote == votes_.end()) {
      count.open += timed_out ? 0 : 1;
      continue;
    }
    if (std::holds_alternative<ClaimGranted>(vote->second)) {
      ++count.granted;
    }
  }
  return count;
}

// Why the claim can no longer be won; the most specific reason takes
// precedence.
ClaimState ClaimCoordinator::LostState() const {
  if (const auto* mismatch = FirstVote<ClaimMismatch>(); mismatch != nullptr) {
    return *mismatch;
  }
  if (const ClaimHeld* held = LatestHeld(); held != nullptr) {
    return ClaimLost{*held};
  }
  Duration retry_after{};
  for (const auto& [holder, verdict] : votes_) {
    if (const auto* abstained = std::get_if<ClaimAbstained>(&verdict)) {
      retry_after = std::max(retry_after, abstained->retry_after);
    }
  }
  return ClaimUnavailable{retry_after};
}

// Returns the newest round of the other send: its attempts in earlier rounds
// are already settled.
const ClaimHeld* ClaimCoordinator::LatestHeld() const {
  const ClaimHeld* latest = nullptr;
  for (const auto& [holder, verdict] : votes_) {
    const auto* held = std::get_if<ClaimHeld>(&verdict);
    if (held == nullptr || held->claimant == claimant_) {
      continue;
    }
    if (latest == nullptr ||
        (held->claimant == latest->claimant && held->round > latest->round)) {
      latest = held;
    }
  }
  return latest;
}

template <typename Verdict>
const Verdict* ClaimCoordinator::FirstVote() const {
  for (const auto& [holder, verdict] : votes_) {
    if (const auto* match = std::get_if<Verdict>(&verdict)) {
      return match;
    }
  }
  return nullptr;
}

}  // namespace bilberryspool::attempts
