#include "plugins/callers/entry_readiness.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::callers {

std::string_view ToString(MissingInput missing) {
  switch (missing) {
    case MissingInput::kNothing:
      return "nothing";
    case MissingInput::kConfiguration:
      return "configuration";
    case MissingInput::kTargets:
      return "targets";
    case MissingInput::kRoster:
      return "roster";
    case MissingInput::kVotes:
      return "votes";
  }
  return "";
}

void EntryReadiness::SetAllowed(std::set<ServiceId> services, TimePoint now) {
  configured_at_ = configured_at_.value_or(now);
  allowed_ = std::move(services);
}

void EntryReadiness::SetServed(std::set<ServiceId> services) {
  served_ = std::move(services);
}

void EntryReadiness::SetRoster(const attempts::Roster& roster) {
  if (roster.version <= roster_.version) {
    return;
  }
  roster_ = roster;
  voting_.clear();
}

void EntryReadiness::SetVote(const NodeId& holder,
                             attempts::RosterVersion version,
                             bool votes) {
  if (votes && version == roster_.version) {
    voting_.insert(holder);
  }
}

std::vector<NodeId> EntryReadiness::HoldersWithoutVote() const {
  std::vector<NodeId> without_vote;
  for (const attempts::RosterMember& member : roster_.members) {
    if (!voting_.contains(member.node)) {
      without_vote.push_back(member.node);
    }
  }
  return without_vote;
}

// Each key has up to three holders, in different failure domains if there are
// enough, and a majority of them must vote.
bool EntryReadiness::AreAllKeysClaimable() const {
  std::set<FailureDomain> domains;
  std::set<FailureDomain> silent_domains;
  std::size_t silent = 0;
  for (const attempts::RosterMember& member : roster_.members) {
    domains.insert(member.domain);
    if (!voting_.contains(member.node)) {
      silent_domains.insert(member.domain);
      ++silent;
    }
  }
  const std::size_t holders =
      std::min(roster_.members.size(), attempts::kHoldersPerKey);
  const std::size_t majority = holders / 2 + 1;
  const std::size_t spare = holders - majority;
  const bool is_spread = domains.size() >= attempts::kHoldersPerKey;
  return (is_spread ? silent_domains.size() : silent) <= spare;
}

MissingInput EntryReadiness::FirstMissing() const {
  if (!configured_at_.has_value()) {
    return MissingInput::kConfiguration;
  }
  const bool are_targets_known =
      served_.has_value() && std::includes(served_->begin(), served_->end(),
                                           allowed_.begin(), allowed_.end());
  if (!are_targets_known) {
    return MissingInput::kTargets;
  }
  if (roster_.members.empty()) {
    return MissingInput::kRoster;
  }
  return AreAllKeysClaimable() ? MissingInput::kNothing : MissingInput::kVotes;
}

bool EntryReadiness::IsReady(TimePoint now) {
  const MissingInput missing = FirstMissing();
  const bool has_timed_out = configured_at_.has_value() &&
                             served_.has_value() &&
                             now - *configured_at_ >= options_.max_wait;
  is_ready_ = is_ready_ || missing == MissingInput::kNothing || has_timed_out;
  return is_ready_;
}

}  // namespace bilberryspool::callers
