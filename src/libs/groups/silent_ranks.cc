#include "libs/groups/silent_ranks.h"

#include <algorithm>

namespace bilberryspool::groups {

namespace {

// A single answer may get lost, and so may all answers of one moment.
constexpr std::uint32_t kMinUnanswered = 3;
constexpr Duration kMinSilence = Milliseconds(500);
// Ticks are due every 25 ms.
constexpr Duration kMaxTickDelay = Milliseconds(100);

}  // namespace

void SilentRanks::OnResponse(RankIndex rank, TimePoint now) {
  ranks_[rank] = Rank{now, 0, now};
}

void SilentRanks::OnTimeout(RankIndex rank, TimePoint now) {
  Rank& polled = ranks_[rank];
  if (polled.unanswered++ == 0) {
    polled.silent_since = now;
  }
}

std::size_t SilentRanks::known_ranks() const {
  return static_cast<std::size_t>(
      std::count_if(ranks_.begin(), ranks_.end(), [](const auto& item) {
        return item.second.last_response != TimePoint{};
      }));
}

void SilentRanks::Tick(TimePoint now) {
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > kMaxTickDelay) {
    late_at_ = now;
  }
  ticked_at_ = now;
}

bool SilentRanks::WasLateSince(TimePoint since, TimePoint now) const {
  return late_at_ >= since || now - ticked_at_ > kMaxTickDelay;
}

bool SilentRanks::HasResponded(RankIndex rank,
                               Duration age,
                               TimePoint now) const {
  const auto found = ranks_.find(rank);
  return found != ranks_.end() && now - found->second.last_response <= age;
}

std::set<RankIndex> SilentRanks::Missing(TimePoint now) const {
  std::set<RankIndex> missing;
  for (const auto& [index, rank] : ranks_) {
    if (rank.unanswered >= kMinUnanswered &&
        now - rank.silent_since >= kMinSilence) {
      missing.insert(index);
    }
  }
  return missing.size() * 2 < ranks_.size() ? missing : std::set<RankIndex>();
}

}  // namespace bilberryspool::groups
