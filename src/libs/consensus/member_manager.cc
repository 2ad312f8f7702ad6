#include "libs/consensus/member_manager.h"

#include <algorithm>

#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {

namespace {

// Replaces a voter whose data folder was lost by the new folder of its node.
std::optional<MembershipChange> ReplaceVoterWithLostFolder(
    const MembershipStatus& status) {
  for (const MemberId& voter : status.membership.voters) {
    const auto replacement = status.awaiting.find(voter.node);
    if (replacement != status.awaiting.end()) {
      return ReplaceVoter{voter, replacement->second};
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<MembershipStatus> MembershipStatusOf(const Replica& replica,
                                                   TimePoint now) {
  const auto& state = replica.leader_state();
  if (!state.has_value()) {
    return std::nullopt;
  }
  MembershipStatus status;
  status.self = replica.self();
  status.membership = replica.log().membership();
  status.awaiting = replica.awaiting_admission(now);
  for (const auto& [id, progress] : state->progress()) {
    if (progress.has_answered()) {
      status.last_responses[id] = progress.acked_sent_at();
    }
  }
  return status;
}

void MemberManager::TrackMembers(const MembershipStatus& status,
                                 TimePoint now) {
  std::map<MemberId, TimePoint> seen;
  for (const MemberId& id : status.membership.AllMembers()) {
    const auto known = first_seen_.find(id);
    seen[id] = known == first_seen_.end() ? now : known->second;
  }
  first_seen_ = std::move(seen);
}

Duration MemberManager::TimeSinceResponse(const MembershipStatus& status,
                                          const MemberId& id,
                                          TimePoint now) const {
  TimePoint last_response = now;
  if (const auto seen = first_seen_.find(id); seen != first_seen_.end()) {
    last_response = seen->second;
  }
  if (const auto response = status.last_responses.find(id);
      response != status.last_responses.end()) {
    last_response = std::max(last_response, response->second);
  }
  return now - last_response;
}

// The voter with the oldest response, if that exceeds the voter timeout.
const MemberId* MemberManager::UnresponsiveVoter(const MembershipStatus& status,
                                                 TimePoint now) const {
  const MemberId* longest = nullptr;
  for (const MemberId& voter : status.membership.voters) {
    if (voter == status.self) {
      continue;
    }
    const Duration silent_for = TimeSinceResponse(status, voter, now);
    if (silent_for < options_.voter_timeout) {
      continue;
    }
    if (longest == nullptr ||
        silent_for > TimeSinceResponse(status, *longest, now)) {
      longest = &voter;
    }
  }
  return longest;
}

// Removes an unresponsive or superseded learner, which would block further
// changes; promotes a learner if there are fewer voters than wanted.
std::optional<MembershipChange> MemberManager::NextLearnerChange(
    const MembershipStatus& status,
    TimePoint now) const {
  for (const Learner& learner : status.membership.learners) {
    const bool has_new_folder = status.awaiting.count(learner.id.node) > 0;
    if (has_new_folder ||
        TimeSinceResponse(status, learner.id, now) > options_.learner_timeout) {
      return RemoveMember{learner.id};
    }
    const bool is_wanted = status.membership.voters.size() < options_.voters;
    if (!learner.replaces && is_wanted) {
      return PromoteLearner{learner.id};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberManager::Next(
    const MembershipStatus& status,
    TimePoint now) {
  TrackMembers(status, now);
  if (status.membership.is_joint()) {
    return std::nullopt;
  }
  if (!status.membership.learners.empty()) {
    return NextLearnerChange(status, now);
  }
  if (auto change = ReplaceVoterWithLostFolder(status)) {
    return change;
  }
  if (status.awaiting.empty()) {
    return std::nullopt;
  }
  const MemberId& newcomer = status.awaiting.begin()->second;
  if (const MemberId* silent = UnresponsiveVoter(status, now)) {
    return ReplaceVoter{*silent, newcomer};
  }
  if (status.membership.voters.size() < options_.voters) {
    return AddLearner{newcomer};
  }
  return std::nullopt;
}

}  // namespace bilberryspool::consensus
