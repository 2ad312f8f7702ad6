#include "libs/placement/layer_packer.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

namespace bilberryspool::placement {
namespace {

class LayerPacker {
 public:
  LayerPacker(const ExpertMap& map,
              const ExpertLoads& loads,
              const std::vector<RankCapacity>& ranks,
              const OperatorRules& rules,
              LayerIndex layer)
      : map_(map),
        loads_(loads),
        ranks_(ranks),
        rules_(rules),
        layer_(layer),
        packed_(map.experts()),
        times_(ranks.size()),
        used_(ranks.size()) {}

  std::optional<PackedLayer> Pack(double tolerance) {
    CountCopies();
    tolerance_time_ = tolerance * EvenShare();
    PlacePinned();
    std::vector<std::uint32_t> order(copies_.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::uint32_t one, std::uint32_t other) {
                       return ShareOf(one) > ShareOf(other);
                     });
    for (const std::uint32_t expert : order) {
      if (!PlaceCopies(expert)) {
        return std::nullopt;
      }
    }
    return Result();
  }

 private:
  ExpertKey KeyOf(std::uint32_t expert) const {
    return {layer_, ExpertIndex(expert)};
  }

  double ShareOf(std::uint32_t expert) const {
    return loads_[KeyOf(expert)] / copies_[expert];
  }

  bool IsPlaced(std::uint32_t expert, RankIndex rank) const {
    const std::vector<RankIndex>& ranks = packed_[expert];
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
  }

  // Recomputes the times, as fewer copies than planned may have been placed.
  PackedLayer Result() {
    PackedLayer result;
    std::vector<double> times(ranks_.size());
    for (std::uint32_t expert = 0; expert < packed_.size(); ++expert) {
      std::vector<RankIndex>& ranks = packed_[expert];
      std::sort(ranks.begin(), ranks.end());
      const double share =
          loads_[KeyOf(expert)] / static_cast<double>(ranks.size());
      for (const RankIndex rank : ranks) {
        times[rank.value()] += share / ranks_[rank.value()].speed;
        result.layer_time = std::max(result.layer_time, times[rank.value()]);
      }
    }
    result.copies = std::move(packed_);
    return result;
  }

  void CountCopies() {
    std::uint32_t total_slots = 0;
    std::uint32_t usable = 0;
    for (const RankCapacity& rank : ranks_) {
      total_slots += rank.usable ? rank.slots : 0;
      usable += rank.usable ? 1 : 0;
    }
    copies_ = CopyCounts(loads_, layer_, total_slots, usable);
  }

  double EvenShare() const {
    double total = 0;
    for (std::uint32_t expert = 0; expert < map_.experts(); ++expert) {
      total += loads_[KeyOf(expert)];
    }
    double speed = 0;
    for (const RankCapacity& rank : ranks_) {
      speed += rank.usable ? rank.speed : 0;
    }
    return speed > 0 ? total / speed : 0;
  }

  void PlacePinned() {
    for (const auto& [key, rank] : rules_.pinned) {
      const bool here = key.layer == layer_ &&
                        key.expert.value() < map_.experts() &&
                        rank.value() < ranks_.size();
      if (here && MayPlace(key, rank.value())) {
        PlaceCopy(key, rank.value(), ShareOf(key.expert.value()));
      }
    }
  }

  bool PlaceCopies(std::uint32_t expert) {
    const ExpertKey key = KeyOf(expert);
    while (packed_[expert].size() < copies_[expert]) {
      const std::optional<std::size_t> rank = BestRank(key);
      if (!rank) {
        return !packed_[expert].empty();
      }
      PlaceCopy(key, *rank, ShareOf(expert));
    }
    return true;
  }

  bool MayPlace(ExpertKey key, std::size_t rank) const {
    const RankIndex index(static_cast<std::uint32_t>(rank));
    return ranks_[rank].usable && used_[rank] < ranks_[rank].slots &&
           !IsPlaced(key.expert.value(), index) &&
           !rules_.forbidden.contains({key, index});
  }

  std::optional<std::size_t> BestRank(ExpertKey key) const {
    std::optional<std::size_t> best;
    double best_time = 0;
    for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
      if (!MayPlace(key, rank)) {
        continue;
      }
      const RankIndex index(static_cast<std::uint32_t>(rank));
      const double time =
          times_[rank] - (map_.Holds(index, key) ? tolerance_time_ : 0);
      if (!best || time < best_time) {
        best = rank;
        best_time = time;
      }
    }
    return best;
  }

  void PlaceCopy(ExpertKey key, std::size_t rank, double share) {
    packed_[key.expert.value()].emplace_back(static_cast<std::uint32_t>(rank));
    times_[rank] += share / ranks_[rank].speed;
    ++used_[rank];
  }

  const ExpertMap& map_;
  const ExpertLoads& loads_;
  const std::vector<RankCapacity>& ranks_;
  const OperatorRules& rules_;
  LayerIndex layer_;
  std::vector<std::vector<RankIndex>> packed_;  // by expert
  std::vector<double> times_;
  std::vector<std::uint32_t> used_;
  std::vector<std::uint32_t> copies_;
  double tolerance_time_ = 0;
};

}  // namespace

std::vector<std::uint32_t> CopyCounts(const ExpertLoads& loads,
                                      LayerIndex layer,
                                      std::uint32_t total_slots,
                                      std::uint32_t max_copies) {
  std::vector<std::uint32_t> copies(loads.experts(), 1);
  using Entry = std::pair<double, std::uint32_t>;
  std::priority_queue<Entry> largest;
  for (std::uint32_t i = 0; i < copies.size(); ++i) {
    largest.emplace(loads[{layer, ExpertIndex(i)}], i);
  }
  std::uint32_t used = loads.experts();
  while (used < total_slots && !largest.empty()) {
    const std::uint32_t expert = largest.top().second;
    largest.pop();
    if (copies[expert] >= max_copies) {
      continue;
    }
    ++copies[expert];
    ++used;
    largest.emplace(loads[{layer, ExpertIndex(expert)}] / copies[expert],
                    expert);
  }
  return copies;
}

std::optional<PackedLayer> PackLayer(const ExpertMap& map,
                                     const ExpertLoads& loads,
                                     const std::vector<RankCapacity>& ranks,
                                     const OperatorRules& rules,
                                     LayerIndex layer,
                                     double tolerance) {
  return LayerPacker(map, loads, ranks, rules, layer).Pack(tolerance);
}

std::vector<CopyChange> ChangesTo(const PackedLayer& packed,
                                  const ExpertMap& map,
                                  LayerIndex layer) {
  std::vector<CopyChange> changes;
  for (std::uint32_t expert = 0; expert < map.experts(); ++expert) {
    const ExpertKey key{layer, ExpertIndex(expert)};
    const std::vector<RankIndex>& wanted = packed.copies[expert];
    for (const RankIndex rank : wanted) {
      if (!map.Holds(rank, key)) {
        changes.push_back({key, rank, true});
      }
    }
    for (const RankIndex rank : map.holders(key)) {
      if (!std::binary_search(wanted.begin(), wanted.end(), rank)) {
        changes.push_back({key, rank, false});
      }
    }
  }
  return changes;
}

}  // namespace bilberryspool::placement
