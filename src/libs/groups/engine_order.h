// What engines that run in lock-step by themselves report and obey.
//
// Such a group starts its steps on its own; the system only says by which step
// each rank switches to another map. Ranks don't compare their maps.

#ifndef LIBS_GROUPS_ENGINE_ORDER_H_
#define LIBS_GROUPS_ENGINE_ORDER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/placement/expert_map.h"

namespace bilberryspool::groups {

// Position in the sequence of steps that all ranks of a group run together.
using StepNumber = StrongNumber<struct StepNumberTag>;
// Counts how often a group has formed; whatever was ordered before is void.
using GroupEpoch = StrongNumber<struct GroupEpochTag>;

// Copy the experts that are new to the rank. May be repeated.
struct PrepareMap {
  MapVersion version;
  std::shared_ptr<const placement::ExpertMap> map;
};
// Switch to a prepared map as that step begins. May be repeated.
struct ArmMap {
  MapVersion version;
  StepNumber step;
};
// Forget that.
struct DisarmMap {
  MapVersion version;
};
// The group does not begin that step before it is released at this rank. Does
// not expire.
struct HoldStep {
  StepNumber step;
};
struct ReleaseStep {
  StepNumber step;
};

using EngineOrder =
    std::variant<PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep>;

// Whether both order the same of a rank. Maps are told by their versions.
bool SameOrder(const EngineOrder& left, const EngineOrder& right);

// An order to one rank. In another epoch it is refused.
struct RankOrder {
  RankIndex rank;
  GroupEpoch epoch;
  EngineOrder order;
};

// What an order was answered.
enum class OrderAnswer {
  kDone,        // the state holds
  kBegun,       // it takes a while; asking again tells
  kRefused,     // it does not fit the rank's state, and was not and will not be
                // carried out
  kUnanswered,  // it may be carried out, perhaps much later
};

struct ArmedMap {
  MapVersion version;
  StepNumber step;

  bool operator==(const ArmedMap&) const = default;
};

// One rank's state, as of a short while before it answered.
struct EngineReport {
  GroupEpoch epoch;
  bool is_open = false;  // the group has all its ranks
  StepNumber step;       // the last one that began
  MapVersion map;        // in use
  std::optional<MapVersion> prepared;
  std::optional<ArmedMap> armed;
  std::optional<StepNumber> held;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Above 1: the engine is slower than it should be.
  double pace = 1.0;
};

// How often a rank's requests chose each expert, by layer, since it started.
struct ExpertPicks {
  StepNumber step;
  GroupEpoch epoch;
  std::vector<std::uint64_t> counts;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_ENGINE_ORDER_H_
