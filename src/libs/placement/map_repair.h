// Assigns experts that lost their last copy to new ranks.

#ifndef LIBS_PLACEMENT_MAP_REPAIR_H_
#define LIBS_PLACEMENT_MAP_REPAIR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

// `map` must have copies at `ranks` only. Each expert without a copy goes to
// the rank with the fewest experts of its layer. If all `slots` are in use, it
// replaces a copy of an expert that has more than one. Returns nothing if there
// is no room.
std::optional<ExpertMap> RepairOrphans(ExpertMap map,
                                       const std::vector<RankIndex>& ranks,
                                       std::uint32_t slots);

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_MAP_REPAIR_H_
