#include "libs/placement/layer_search.h"

#include <algorithm>

namespace bilberryspool::placement {
namespace {

// Number of destination ranks considered per move. More of them hardly improve
// the result and make a decision slower (placement_bench).
constexpr std::size_t kMaxDestinations = 6;
// Minimum relative decrease of the penalty; smaller gains are noise.
constexpr double kMinGain = 0.002;

// A smooth approximation of the maximum: the sum over the ranks also decreases
// if only one of two equally slow ranks improves, so the search does not stop
// at ties.
double SixteenthPower(double time) {
  const double square = time * time;
  const double fourth = square * square;
  const double eighth = fourth * fourth;
  return eighth * eighth;
}

template <typename Item>
void InsertSorted(std::vector<Item>& items, Item item) {
  items.insert(std::lower_bound(items.begin(), items.end(), item), item);
}

template <typename Item>
void EraseSorted(std::vector<Item>& items, Item item) {
  const auto place = std::lower_bound(items.begin(), items.end(), item);
  if (place != items.end() && *place == item) {
    items.erase(place);
  }
}

}  // namespace

std::uint32_t Move::fetches() const {
  return static_cast<std::uint32_t>(
      std::count_if(changes.begin(), changes.end(),
                    [](const CopyChange& change) { return change.adds; }));
}

LayerSearch::LayerSearch(const ExpertMap& map,
                         const ExpertLoads& loads,
                         const std::vector<RankCapacity>& ranks,
                         const OperatorRules& rules,
                         LayerIndex layer)
    : ranks_(ranks), rules_(rules), layer_(layer) {
  held_.resize(ranks.size());
  times_.resize(ranks.size());
  penalties_.resize(ranks.size());
  copies_.resize(map.experts());
  double speed = 0;
  for (const RankCapacity& rank : ranks) {
    speed += rank.speed;
  }
  double total = 0;
  for (std::uint32_t i = 0; i < map.experts(); ++i) {
    total += loads[KeyOf(ExpertIndex(i))];
  }
  if (total > 0 && speed > 0) {
    ideal_time_ = total / speed;
  }
  for (std::uint32_t i = 0; i < map.experts(); ++i) {
    const ExpertIndex expert(i);
    loads_.push_back(loads[KeyOf(expert)]);
    for (const RankIndex rank : map.holders(KeyOf(expert))) {
      if (rank.value() >= ranks.size()) {
        continue;
      }
      copies_[i].push_back(rank);
      held_[rank.value()].push_back(expert);
    }
    AddWork(expert, 1);
  }
}

double LayerSearch::layer_time() const {
  return times_.empty() ? 0 : *std::max_element(times_.begin(), times_.end());
}

bool LayerSearch::Holds(RankIndex rank, ExpertIndex expert) const {
  const std::vector<ExpertIndex>& held = held_[rank.value()];
  return std::binary_search(held.begin(), held.end(), expert);
}

bool LayerSearch::CanRemove(ExpertIndex expert, RankIndex rank) const {
  return !rules_.pinned.contains({KeyOf(expert), rank});
}

bool LayerSearch::CanAdd(ExpertIndex expert, RankIndex rank) const {
  return ranks_[rank.value()].usable && !Holds(rank, expert) &&
         !rules_.forbidden.contains({KeyOf(expert), rank});
}

bool LayerSearch::HasRoom(RankIndex rank) const {
  return held_[rank.value()].size() < ranks_[rank.value()].slots;
}

// Adds the expert's share to the times of its ranks (`sign` 1) or subtracts it
// (`sign` -1).
void LayerSearch::AddWork(ExpertIndex expert, double sign) {
  const std::vector<RankIndex>& copies = copies_[expert.value()];
  if (copies.empty()) {
    return;
  }
  const double share =
      loads_[expert.value()] / static_cast<double>(copies.size());
  for (const RankIndex rank : copies) {
    double& time = times_[rank.value()];
    double& penalty = penalties_[rank.value()];
    time += sign * share / ranks_[rank.value()].speed;
    penalty_ -= penalty;
    penalty = PenaltyOf(time);
    penalty_ += penalty;
  }
}

void LayerSearch::Apply(const CopyChange& change) {
  const ExpertIndex expert = change.key.expert;
  AddWork(expert, -1);
  if (change.adds) {
    InsertSorted(copies_[expert.value()], change.rank);
    InsertSorted(held_[change.rank.value()], expert);
  } else {
    EraseSorted(copies_[expert.value()], change.rank);
    EraseSorted(held_[change.rank.value()], expert);
  }
  AddWork(expert, 1);
}

double LayerSearch::PenaltyOf(double time) const {
  return SixteenthPower(time / ideal_time_);
}

RankIndex LayerSearch::SlowestRank() const {
  const auto slowest = std::max_element(times_.begin(), times_.end());
  return RankIndex(static_cast<std::uint32_t>(slowest - times_.begin()));
}

std::vector<RankIndex> LayerSearch::LeastLoadedRanks(RankIndex except) const {
  std::vector<RankIndex> ranks;
  for (std::uint32_t i = 0; i < times_.size(); ++i) {
    if (RankIndex(i) != except && ranks_[i].usable) {
      ranks.emplace_back(i);
    }
  }
  const std::size_t kept = std::min(kMaxDestinations, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranks.end(), [&](RankIndex one, RankIndex other) {
                      return std::pair(times_[one.value()], one) <
                             std::pair(times_[other.value()], other);
                    });
  ranks.resize(kept);
  return ranks;
}

std::optional<Move> LayerSearch::Improve() {
  if (times_.empty()) {
    return std::nullopt;
  }
  const RankIndex slowest = SlowestRank();
  const std::vector<ExpertIndex> held = held_[slowest.value()];
  std::optional<Candidate> best;
  for (const RankIndex destination : LeastLoadedRanks(slowest)) {
    for (const ExpertIndex expert : held) {
      ConsiderDestination(expert, slowest, destination, best);
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return Commit(std::move(best->changes));
}

void LayerSearch::ConsiderDestination(ExpertIndex expert,
                                      RankIndex from,
                                      RankIndex to,
                                      std::optional<Candidate>& best) {
  if (!CanAdd(expert, to)) {
    return;
  }
  const CopyChange addition{KeyOf(expert), to, true};
  const CopyChange removal{KeyOf(expert), from, false};
  const bool can_remove = CanRemove(expert, from);
  if (HasRoom(to)) {
    Consider({addition}, best);
    if (can_remove) {
      Consider({addition, removal}, best);
    }
    return;
  }
  const std::vector<ExpertIndex> there = held_[to.value()];
  for (const ExpertIndex other : there) {
    if (!CanRemove(other, to)) {
      continue;
    }
    const CopyChange eviction{KeyOf(other), to, false};
    if (copies_[other.value()].size() > 1) {
      Consider({eviction, addition}, best);
      if (can_remove) {
        Consider({eviction, addition, removal}, best);
      }
    }
    if (can_remove && CanAdd(other, from)) {
      const CopyChange swap_back{KeyOf(other), from, true};
      Consider({addition, swap_back, eviction, removal}, best);
    }
  }
}

// Applies the changes tentatively and keeps them in `best` if their score, the
// decrease of the penalty per fetch, is the highest so far.
void LayerSearch::Consider(std::vector<CopyChange> changes,
                           std::optional<Candidate>& best) {
  const double before = penalty_;
  for (const CopyChange& change : changes) {
    Apply(change);
  }
  const double after = penalty_;
  double fetches = 0;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    fetches += change->adds ? 1 : 0;
    Apply({change->key, change->rank, !change->adds});
  }
  // Restored exactly, as rounding errors of the trials would accumulate.
  penalty_ = before;
  const double drop = before - after;
  if (drop < before * kMinGain) {
    return;
  }
  const double score = drop / fetches;
  if (!best || score > best->score) {
    best = Candidate{std::move(changes), score};
  }
}

Move LayerSearch::Commit(std::vector<CopyChange> changes) {
  for (const CopyChange& change : changes) {
    Apply(change);
  }
  return Move{std::move(changes), layer_time()};
}

std::vector<Move> LayerSearch::Enforce() {
  std::vector<Move> moves;
  for (const auto& [key, rank] : rules_.forbidden) {
    if (key.layer == layer_ && key.expert.value() < loads_.size() &&
        rank.value() < ranks_.size() && Holds(rank, key.expert)) {
      EnforceForbidden(key.expert, rank, moves);
    }
  }
  for (const auto& [key, rank] : rules_.pinned) {
    if (key.layer == layer_ && key.expert.value() < loads_.size() &&
        rank.value() < ranks_.size() && CanAdd(key.expert, rank)) {
      EnforcePin(key.expert, rank, moves);
    }
  }
  return moves;
}

void LayerSearch::EnforceForbidden(ExpertIndex expert,
                                   RankIndex rank,
                                   std::vector<Move>& out) {
  const CopyChange removal{KeyOf(expert), rank, false};
  if (copies_[expert.value()].size() > 1) {
    out.push_back(Commit({removal}));
    return;
  }
  for (const RankIndex new_rank : LeastLoadedRanks(rank)) {
    if (CanAdd(expert, new_rank) && HasRoom(new_rank)) {
      out.push_back(Commit({{KeyOf(expert), new_rank, true}, removal}));
      return;
    }
  }
}

void LayerSearch::EnforcePin(ExpertIndex expert,
                             RankIndex rank,
                             std::vector<Move>& out) {
  const CopyChange addition{KeyOf(expert), rank, true};
  if (HasRoom(rank)) {
    out.push_back(Commit({addition}));
    return;
  }
  for (const ExpertIndex other : held_[rank.value()]) {
    if (copies_[other.value()].size() > 1 && CanRemove(other, rank)) {
      out.push_back(Commit({{KeyOf(other), rank, false}, addition}));
      return;
    }
  }
}

}  // namespace bilberryspool::placement
