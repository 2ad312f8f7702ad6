// Computes a placement of one layer from scratch.
//
// Local search stops at a local optimum. Repacking the layer can leave it, at
// the cost of more fetches.

#ifndef LIBS_PLACEMENT_LAYER_PACKER_H_
#define LIBS_PLACEMENT_LAYER_PACKER_H_

#include <optional>
#include <vector>

#include "libs/placement/layer_search.h"

namespace bilberryspool::placement {

struct PackedLayer {
  std::vector<std::vector<RankIndex>> copies;  // by expert, ranks ascending
  double layer_time = 0;                       // as in LayerSearch
};

// Chooses the number of copies in proportion to load and assigns them greedily,
// largest share first, to the least loaded rank. A rank that already holds the
// expert is preferred if its load exceeds the minimum by at most `tolerance`
// times the layer's balanced share. Pinned copies are kept and forbidden copies
// avoided. Returns nothing if there is no room for all experts.
std::optional<PackedLayer> PackLayer(const ExpertMap& map,
                                     const ExpertLoads& loads,
                                     const std::vector<RankCapacity>& ranks,
                                     const OperatorRules& rules,
                                     LayerIndex layer,
                                     double tolerance);

// Number of copies of each expert of the layer that uses all `total_slots`,
// giving each further copy to the expert with the largest load per copy.
std::vector<std::uint32_t> CopyCounts(const ExpertLoads& loads,
                                      LayerIndex layer,
                                      std::uint32_t total_slots,
                                      std::uint32_t max_copies);

// Copies to add and to remove in the layer to get from `map` to `packed`.
std::vector<CopyChange> ChangesTo(const PackedLayer& packed,
                                  const ExpertMap& map,
                                  LayerIndex layer);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_LAYER_PACKER_H_
