// Assignment of expert copies to ranks.
//
// All ranks must route by the same map. It is therefore a single value, which
// libs/groups versions, and equal inputs produce equal maps.

#ifndef LIBS_PLACEMENT_EXPERT_MAP_H_
#define LIBS_PLACEMENT_EXPERT_MAP_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "libs/base/ids.h"

namespace bilberryspool::placement {

// Position of a layer in the model, from 0.
using LayerIndex = StrongType<struct LayerIndexTag, std::uint32_t>;

// One expert of one layer, the unit in which ranks load and drop weights.
struct ExpertKey {
  LayerIndex layer;
  ExpertIndex expert;

  auto operator<=>(const ExpertKey&) const = default;
};

// Copies of each expert. Copyable; the ranks of an expert are sorted.
class ExpertMap {
 public:
  ExpertMap() = default;
  // Creates a map without any copies.
  ExpertMap(std::uint32_t layers, std::uint32_t experts);

  // Distributes the experts over the ranks in turn, then fills the `slots` that
  // each rank has per layer with additional copies on other ranks.
  static ExpertMap RoundRobin(std::uint32_t layers,
                              std::uint32_t experts,
                              std::uint32_t ranks,
                              std::uint32_t slots);

  std::uint32_t layers() const { return layers_; }
  std::uint32_t experts() const { return experts_; }

  // Ranks with a copy of the expert, in ascending order.
  const std::vector<RankIndex>& holders(ExpertKey key) const;
  // Returns false for a key outside of the map, as keys from engines and orders
  // are not validated.
  bool Holds(RankIndex rank, ExpertKey key) const;
  // Adding an existing copy or removing a missing one has no effect.
  void Add(ExpertKey key, RankIndex rank);
  void Remove(ExpertKey key, RankIndex rank);

  // All experts of a rank, ordered by layer, then expert.
  std::vector<ExpertKey> HeldBy(RankIndex rank) const;
  // Experts of one layer at a rank, in ascending order.
  std::vector<ExpertIndex> HeldBy(RankIndex rank, LayerIndex layer) const;
  // Experts without any copy.
  std::vector<ExpertKey> Orphans() const;
  // Returns a map with only the copies at `ranks`, which must be sorted.
  ExpertMap RestrictedTo(const std::vector<RankIndex>& ranks) const;

  bool operator==(const ExpertMap&) const = default;

 private:
  std::size_t PositionOf(ExpertKey key) const;

  std::uint32_t layers_ = 0;
  std::uint32_t experts_ = 0;
  std::vector<std::vector<RankIndex>> holders_;  // by layer, then expert
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_EXPERT_MAP_H_
