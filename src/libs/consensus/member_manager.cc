#include "libs/consensus/member_manager.h"

#include <algorithm>
#include <utility>

#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {

namespace {

// How long an attempt to admit a folder counts when the next one is chosen.
constexpr Duration kAttemptMemory = Seconds(60);

// The voter whose data folder was lost, if `candidate` is the new folder of its
// node.
const MemberId* VoterOfSameNode(const MembershipStatus& status,
                                const MemberId& candidate) {
  for (const MemberId& voter : status.membership.voters) {
    if (voter.node == candidate.node) {
      return &voter;
    }
  }
  return nullptr;
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
  std::erase_if(tried_at_, [now](const auto& item) {
    return now - item.second > kAttemptMemory;
  });
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

// Whether the learner can't become a voter, or keeps others from becoming one.
bool MemberManager::MustRemoveLearner(const MembershipStatus& status,
                                      const Learner& learner,
                                      TimePoint now) const {
  const bool has_new_folder = status.awaiting.count(learner.id.node) > 0;
  const bool is_wanted = learner.replaces.has_value() ||
                         status.membership.voters.size() < options_.voters;
  const Duration silent_for = TimeSinceResponse(status, learner.id, now);
  if (has_new_folder || !is_wanted || silent_for > options_.learner_timeout) {
    return true;
  }
  const Duration member_for = now - first_seen_.at(learner.id);
  return !status.awaiting.empty() && (silent_for > options_.voter_timeout ||
                                      member_for > options_.learner_timeout);
}

// Removes a learner that would block further changes; promotes a learner if
// there are fewer voters than wanted.
std::optional<MembershipChange> MemberManager::NextLearnerChange(
    const MembershipStatus& status,
    TimePoint now) const {
  for (const Learner& learner : status.membership.learners) {
    if (MustRemoveLearner(status, learner, now)) {
      return RemoveMember{learner.id};
    }
    if (!learner.replaces) {
      return PromoteLearner{learner.id};
    }
  }
  return std::nullopt;
}

// Those that were never tried come first, then the one whose last attempt is
// the longest ago; among these, the new folders of voters.
std::vector<MemberId> MemberManager::CandidatesInOrder(
    const MembershipStatus& status) const {
  const auto key_of = [&](const MemberId& id) {
    const auto tried = tried_at_.find(id);
    return std::pair(
        tried == tried_at_.end() ? TimePoint::min() : tried->second,
        VoterOfSameNode(status, id) == nullptr);
  };
  std::vector<MemberId> candidates;
  candidates.reserve(status.awaiting.size());
  for (const auto& [node, id] : status.awaiting) {
    candidates.push_back(id);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const MemberId& left, const MemberId& right) {
                     return key_of(left) < key_of(right);
                   });
  return candidates;
}

std::optional<MembershipChange> MemberManager::AdmissionOf(
    const MemberId& candidate,
    const MembershipStatus& status,
    TimePoint now) const {
  if (const MemberId* lost = VoterOfSameNode(status, candidate)) {
    return ReplaceVoter{*lost, candidate};
  }
  if (const MemberId* silent = UnresponsiveVoter(status, now)) {
    return ReplaceVoter{*silent, candidate};
  }
  if (status.membership.voters.size() < options_.voters) {
    return AddLearner{candidate};
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberManager::NextAdmission(
    const MembershipStatus& status,
    TimePoint now) {
  for (const MemberId& candidate : CandidatesInOrder(status)) {
    if (auto change = AdmissionOf(candidate, status, now)) {
      tried_at_[candidate] = now;
      return change;
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
  return NextAdmission(status, now);
}

}  // namespace bilberryspool::consensus
