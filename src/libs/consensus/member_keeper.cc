#include "libs/consensus/member_keeper.h"

#include <algorithm>

#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {

namespace {

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

}  // namespace

std::optional<MemberPicture> PictureOf(const Replica& replica) {
  const auto& state = replica.leader_state();
  if (!state.has_value()) {
    return std::nullopt;
  }
  MemberPicture picture;
  picture.self = replica.self();
  picture.membership = replica.log().membership();
  picture.awaiting = replica.awaiting_admission();
  for (const auto& [id, progress] : state->progress()) {
    if (progress.has_answered()) {
      picture.answered[id] = progress.acked_sent_at();
    }
  }
  return picture;
}

void MemberKeeper::NoteMembers(const MemberPicture& picture, TimePoint now) {
  std::map<MemberId, TimePoint> seen;
  for (const MemberId& id : picture.membership.AllMembers()) {
    const auto known = first_seen_.find(id);
    seen[id] = known == first_seen_.end() ? now : known->second;
  }
  first_seen_ = std::move(seen);
}

Duration MemberKeeper::UnheardFor(const MemberPicture& picture,
                                  const MemberId& id,
                                  TimePoint now) const {
  TimePoint heard = now;
  if (const auto seen = first_seen_.find(id); seen != first_seen_.end()) {
    heard = seen->second;
  }
  if (const auto answered = picture.answered.find(id);
      answered != picture.answered.end()) {
    heard = std::max(heard, answered->second);
  }
  return now - heard;
}

// The voter that has been unheard for longest, where it is long enough.
const MemberId* MemberKeeper::SilentVoter(const MemberPicture& picture,
                                          TimePoint now) const {
  const MemberId* longest = nullptr;
  for (const MemberId& voter : picture.membership.voters) {
    if (voter == picture.self) {
      continue;
    }
    const Duration unheard = UnheardFor(picture, voter, now);
    if (unheard < options_.silence) {
      continue;
    }
    if (longest == nullptr || unheard > UnheardFor(picture, *longest, now)) {
      longest = &voter;
    }
  }
  return longest;
}

// Ends what a dead learner holds up; promotes one that voters are missing.
std::optional<MembershipChange> MemberKeeper::TendLearners(
    const MemberPicture& picture,
    TimePoint now) const {
  for (const Learner& learner : picture.membership.learners) {
    const bool has_new_folder = picture.awaiting.count(learner.id.node) > 0;
    if (has_new_folder ||
        UnheardFor(picture, learner.id, now) > options_.learner_patience) {
      return RemoveMember{learner.id};
    }
    const bool is_wanted = picture.membership.voters.size() < options_.voters;
    if (!learner.replaces && is_wanted) {
      return PromoteLearner{learner.id};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberKeeper::Next(const MemberPicture& picture,
                                                   TimePoint now) {
  NoteMembers(picture, now);
  if (picture.membership.is_joint()) {
    return std::nullopt;
  }
  if (!picture.membership.learners.empty()) {
    return TendLearners(picture, now);
  }
  if (auto change = ReplaceLostFolder(picture)) {
    return change;
  }
  if (picture.awaiting.empty()) {
    return std::nullopt;
  }
  const MemberId& newcomer = picture.awaiting.begin()->second;
  if (const MemberId* silent = SilentVoter(picture, now)) {
    return ReplaceVoter{*silent, newcomer};
  }
  if (picture.membership.voters.size() < options_.voters) {
    return AddLearner{newcomer};
  }
  return std::nullopt;
}

}  // namespace bilberryspool::consensus
