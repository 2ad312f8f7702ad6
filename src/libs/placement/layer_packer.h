// Places the experts of one layer anew.
//
// Local search alone stops where no single move helps; packing anew gets out
// of there, for more fetches.

#ifndef LIBS_PLACEMENT_LAYER_PACKER_H_
#define LIBS_PLACEMENT_LAYER_PACKER_H_

#include <optional>
#include <vector>

#include "libs/placement/layer_search.h"

namespace bilberryspool::placement {

struct PackedLayer {
  std::vector<std::vector<RankIndex>> copies;  // by expert, in rising order
  double layer_time = 0;                       // as in LayerSearch
};

// Copies in proportion to load, heaviest share first onto the emptiest rank.
// A rank that holds the expert already is preferred while it is behind by no
// more than `tolerance` of the layer's even share. Pinned copies stay and
// forbidden ones are avoided. Nothing where there is no room for all experts.
std::optional<PackedLayer> PackLayer(const ExpertMap& map,
                                     const ExpertLoads& loads,
                                     const std::vector<RankCapacity>& ranks,
                                     const OperatorRules& rules,
                                     LayerIndex layer,
                                     double tolerance);

// How many copies of each expert of the layer fill the places best.
std::vector<std::uint32_t> CopyCounts(const ExpertLoads& loads,
                                      LayerIndex layer,
                                      std::uint32_t total_slots,
                                      std::uint32_t max_copies);

// What has to come and go in the layer to get from the map to the packing.
std::vector<CopyChange> ChangesTo(const PackedLayer& packed,
                                  const ExpertMap& map,
                                  LayerIndex layer);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_LAYER_PACKER_H_
