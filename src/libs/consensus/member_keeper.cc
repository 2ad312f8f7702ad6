#include "libs/consensus/member_keeper.h"

#include <algorithm>

#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {

namespace {

Duration UnheardFor(const MemberPicture& picture, const MemberId& id) {
  const auto found = picture.unheard.find(id);
  return found == picture.unheard.end() ? Duration::zero() : found->second;
}

// A folder that was lost with its disk, and the one that took its place.
std::optional<MembershipChange> ReplaceLostFolder(
    const MemberPicture& picture) {
  for (const MemberId& voter : picture.membership.voters) {
    const auto heir = picture.awaiting.find(voter.node);
    if (heir != picture.awaiting.end()) {
      return ReplaceVoter{voter, heir->second};
    }
  }
  return std::nullopt;
}

// The voter that has been unheard for longest, where it is long enough.
const MemberId* SilentVoter(const MemberPicture& picture,
                            Duration silence) {
  const MemberId* longest = nullptr;
  for (const MemberId& voter : picture.membership.voters) {
    const Duration unheard = UnheardFor(picture, voter);
    if (unheard < silence) {
      continue;
    }
    if (longest == nullptr || unheard > UnheardFor(picture, *longest)) {
      longest = &voter;
    }
  }
  return longest;
}

// Ends what a dead learner holds up; promotes one that voters are missing.
std::optional<MembershipChange> TendLearners(
    const MemberPicture& picture,
    const MemberKeeperOptions& options) {
  for (const Learner& learner : picture.membership.learners) {
    const auto heir = picture.awaiting.find(learner.id.node);
    const bool has_new_folder = heir != picture.awaiting.end();
    if (has_new_folder ||
        UnheardFor(picture, learner.id) > options.learner_patience) {
      return RemoveMember{learner.id};
    }
    const bool is_wanted =
        picture.membership.voters.size() < options.voters;
    if (!learner.replaces && is_wanted) {
      return PromoteLearner{learner.id};
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<MemberPicture> PictureOf(const Replica& replica, TimePoint now) {
  const auto& state = replica.leader_state();
  if (!state.has_value()) {
    return std::nullopt;
  }
  MemberPicture picture;
  picture.membership = replica.log().membership();
  picture.awaiting = replica.awaiting_admission();
  for (const auto& [id, progress] : state->progress()) {
    const TimePoint heard = progress.has_answered() ? progress.acked_sent_at()
                                                    : state->started_at();
    picture.unheard[id] = now - heard;
  }
  return picture;
}

std::optional<MembershipChange> NextChange(
    const MemberPicture& picture,
    const MemberKeeperOptions& options) {
  if (picture.membership.is_joint()) {
    return std::nullopt;
  }
  if (!picture.membership.learners.empty()) {
    return TendLearners(picture, options);
  }
  if (auto change = ReplaceLostFolder(picture)) {
    return change;
  }
  if (picture.awaiting.empty()) {
    return std::nullopt;
  }
  const MemberId& newcomer = picture.awaiting.begin()->second;
  if (const MemberId* silent = SilentVoter(picture, options.silence)) {
    return ReplaceVoter{*silent, newcomer};
  }
  if (picture.membership.voters.size() < options.voters) {
    return AddLearner{newcomer};
  }
  return std::nullopt;
}

}  // namespace bilberryspool::consensus
