#include "libs/placement/expert_map.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "libs/base/check.h"

namespace bilberryspool::placement {

ExpertMap::ExpertMap(std::uint32_t layers, std::uint32_t experts)
    : layers_(layers),
      experts_(experts),
      holders_(static_cast<std::size_t>(layers) * experts) {}

ExpertMap ExpertMap::RoundRobin(std::uint32_t layers,
                                std::uint32_t experts,
                                std::uint32_t ranks,
                                std::uint32_t slots) {
  ExpertMap map(layers, experts);
  if (experts == 0 || ranks == 0) {
    return map;
  }
  std::vector<std::uint32_t> used(ranks);
  const std::uint32_t total_slots = std::max(experts, ranks * slots);
  for (std::uint32_t position = 0; position < total_slots; ++position) {
    const ExpertKey key{LayerIndex(0), ExpertIndex(position % experts)};
    std::optional<std::uint32_t> emptiest;
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      const bool emptier = !emptiest || used[rank] < used[*emptiest];
      if (emptier && !map.Holds(RankIndex(rank), key)) {
        emptiest = rank;
      }
    }
    const bool first_copy = position < experts;
    if (emptiest && (first_copy || used[*emptiest] < slots)) {
      map.Add(key, RankIndex(*emptiest));
      ++used[*emptiest];
    }
  }
  for (std::uint32_t layer = 1; layer < layers; ++layer) {
    std::copy_n(map.holders_.begin(), experts,
                map.holders_.begin() + std::ptrdiff_t{layer} * experts);
  }
  return map;
}

std::size_t ExpertMap::PositionOf(ExpertKey key) const {
  BILBERRYSPOOL_INVARIANT(
      key.layer.value() < layers_ && key.expert.value() < experts_,
      "an expert key lies within its map");
  return static_cast<std::size_t>(key.layer.value()) * experts_ +
         key.expert.value();
}

const std::vector<RankIndex>& ExpertMap::holders(ExpertKey key) const {
  return holders_[PositionOf(key)];
}

bool ExpertMap::Holds(RankIndex rank, ExpertKey key) const {
  if (key.layer.value() >= layers_ || key.expert.value() >= experts_) {
    return false;
  }
  const std::vector<RankIndex>& ranks = holders(key);
  return std::binary_search(ranks.begin(), ranks.end(), rank);
}

void ExpertMap::Add(ExpertKey key, RankIndex rank) {
  std::vector<RankIndex>& ranks = holders_[PositionOf(key)];
  const auto position = std::lower_bound(ranks.begin(), ranks.end(), rank);
  if (position == ranks.end() || *position != rank) {
    ranks.insert(position, rank);
  }
}

void ExpertMap::Remove(ExpertKey key, RankIndex rank) {
  std::vector<RankIndex>& ranks = holders_[PositionOf(key)];
  const auto position = std::lower_bound(ranks.begin(), ranks.end(), rank);
  if (position != ranks.end() && *position == rank) {
    ranks.erase(position);
  }
}

std::vector<ExpertKey> ExpertMap::HeldBy(RankIndex rank) const {
  std::vector<ExpertKey> held;
  for (std::uint32_t layer = 0; layer < layers_; ++layer) {
    for (const ExpertIndex expert : HeldBy(rank, LayerIndex(layer))) {
      held.push_back({LayerIndex(layer), expert});
    }
  }
  return held;
}

std::vector<ExpertIndex> ExpertMap::HeldBy(RankIndex rank,
                                           LayerIndex layer) const {
  std::vector<ExpertIndex> held;
  for (std::uint32_t expert = 0; expert < experts_; ++expert) {
    if (Holds(rank, {layer, ExpertIndex(expert)})) {
      held.emplace_back(expert);
    }
  }
  return held;
}

std::vector<ExpertKey> ExpertMap::Orphans() const {
  std::vector<ExpertKey> orphans;
  for (std::uint32_t layer = 0; layer < layers_; ++layer) {
    for (std::uint32_t expert = 0; expert < experts_; ++expert) {
      const ExpertKey key{LayerIndex(layer), ExpertIndex(expert)};
      if (holders(key).empty()) {
        orphans.push_back(key);
      }
    }
  }
  return orphans;
}

ExpertMap ExpertMap::RestrictedTo(const std::vector<RankIndex>& ranks) const {
  ExpertMap restricted = *this;
  for (std::vector<RankIndex>& holders : restricted.holders_) {
    std::erase_if(holders, [&](RankIndex rank) {
      return !std::binary_search(ranks.begin(), ranks.end(), rank);
    });
  }
  return restricted;
}

}  // namespace bilberryspool::placement
