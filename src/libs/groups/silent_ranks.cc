#include "libs/groups/silent_ranks.h"

#include <algorithm>

namespace bilberryspool::groups {

namespace {

// Several readings: one may get lost, and a reader that fails is replaced
// before.
constexpr Duration kSilence = Milliseconds(650);
// Ticks are due every 25 ms.
constexpr Duration kLate = Milliseconds(100);

}  // namespace

void SilentRanks::OnHeard(RankIndex rank, TimePoint now) {
  heard_at_[rank] = now;
  missing_.erase(rank);
}

void SilentRanks::Tick(TimePoint now) {
  if (ticked_at_ != TimePoint{} && now - ticked_at_ > kLate) {
    late_at_ = now;
  }
  ticked_at_ = now;
  for (const auto& [rank, heard_at] : heard_at_) {
    if (now - std::max(heard_at, late_at_) > kSilence) {
      missing_.insert(rank);
    }
  }
}

bool SilentRanks::WasLateSince(TimePoint since, TimePoint now) const {
  return late_at_ >= since || now - ticked_at_ > kLate;
}

bool SilentRanks::IsHeard(RankIndex rank, Duration age, TimePoint now) const {
  const auto found = heard_at_.find(rank);
  return found != heard_at_.end() && now - found->second <= age;
}

std::set<RankIndex> SilentRanks::Missing() const {
  return missing_.size() * 2 < heard_at_.size() ? missing_
                                                : std::set<RankIndex>();
}

}  // namespace bilberryspool::groups
