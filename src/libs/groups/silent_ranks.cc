#include "libs/groups/silent_ranks.h"

namespace bilberryspool::groups {

namespace {

// One answer may get lost, and so may all of a moment.
constexpr std::uint32_t kLeastUnanswered = 3;
constexpr Duration kSilence = Milliseconds(500);
// Ticks are due every 25 ms.
constexpr Duration kLate = Milliseconds(100);

}  // namespace

void SilentRanks::OnHeard(RankIndex rank, TimePoint now) {
  ranks_[rank] = Rank{now, 0, now};
}

void SilentRanks::OnSilent(RankIndex rank, TimePoint now) {
  const auto found = ranks_.find(rank);
  if (found == ranks_.end()) {
    return;
  }
  if (found->second.unanswered++ == 0) {
    found->second.silent_since = now;
  }
}

void SilentRanks::Tick(TimePoint now) {
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > kLate) {
    late_at_ = now;
  }
  ticked_at_ = now;
}

bool SilentRanks::WasLateSince(TimePoint since, TimePoint now) const {
  return late_at_ >= since || now - ticked_at_ > kLate;
}

bool SilentRanks::IsHeard(RankIndex rank, Duration age, TimePoint now) const {
  const auto found = ranks_.find(rank);
  return found != ranks_.end() && now - found->second.heard_at <= age;
}

std::set<RankIndex> SilentRanks::Missing(TimePoint now) const {
  std::set<RankIndex> missing;
  for (const auto& [index, rank] : ranks_) {
    if (rank.unanswered >= kLeastUnanswered &&
        now - rank.silent_since >= kSilence) {
      missing.insert(index);
    }
  }
  return missing.size() * 2 < ranks_.size() ? missing : std::set<RankIndex>();
}

}  // namespace bilberryspool::groups
