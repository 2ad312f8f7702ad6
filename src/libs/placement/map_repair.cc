#include "libs/placement/map_repair.h"

#include <utility>

namespace bilberryspool::placement {
namespace {

std::optional<RankIndex> EmptiestRank(const ExpertMap& map,
                                      const std::vector<RankIndex>& ranks,
                                      LayerIndex layer,
                                      std::uint32_t slots) {
  std::optional<RankIndex> emptiest;
  std::size_t fewest = slots;
  for (const RankIndex rank : ranks) {
    const std::size_t held = map.HeldBy(rank, layer).size();
    if (held < fewest) {
      fewest = held;
      emptiest = rank;
    }
  }
  return emptiest;
}

// Frees one slot in the layer by removing the first copy of the expert with the
// most copies.
std::optional<RankIndex> FreeOneSlot(ExpertMap& map, LayerIndex layer) {
  std::optional<ExpertKey> most_copied;
  std::size_t max_copies = 1;
  for (std::uint32_t expert = 0; expert < map.experts(); ++expert) {
    const ExpertKey key{layer, ExpertIndex(expert)};
    if (map.holders(key).size() > max_copies) {
      max_copies = map.holders(key).size();
      most_copied = key;
    }
  }
  if (!most_copied) {
    return std::nullopt;
  }
  const RankIndex rank = map.holders(*most_copied).front();
  map.Remove(*most_copied, rank);
  return rank;
}

}  // namespace

std::optional<ExpertMap> RepairOrphans(ExpertMap map,
                                       const std::vector<RankIndex>& ranks,
                                       std::uint32_t slots) {
  for (const ExpertKey orphan : map.Orphans()) {
    std::optional<RankIndex> rank =
        EmptiestRank(map, ranks, orphan.layer, slots);
    if (!rank) {
      rank = FreeOneSlot(map, orphan.layer);
    }
    if (!rank) {
      return std::nullopt;
    }
    map.Add(orphan, *rank);
  }
  return map;
}

}  // namespace bilberryspool::placement
