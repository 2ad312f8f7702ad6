// Orders to, and reports from, engines that run in lock-step by themselves.
//
// Such a group starts its steps on its own; the system only decides at which
// step each rank switches to another map. Ranks don't compare their maps.

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
// Number of times that a group has formed. Orders of an earlier epoch are void.
using GroupEpoch = StrongNumber<struct GroupEpochTag>;

// Copies the experts that the rank does not hold yet. Idempotent.
struct PrepareMap {
  MapVersion version;
  std::shared_ptr<const placement::ExpertMap> map;
};
// Switches to a prepared map when `step` begins. Idempotent.
struct ArmMap {
  MapVersion version;
  StepNumber step;
};
// Cancels the `ArmMap` of this version.
struct DisarmMap {
  MapVersion version;
};
// Keeps the group from beginning `step` until it is released at this rank. Does
// not expire.
struct HoldStep {
  StepNumber step;
};
struct ReleaseStep {
  StepNumber step;
};

using EngineOrder =
    std::variant<PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep>;

// Whether both orders are the same. Maps are compared by version.
bool SameOrder(const EngineOrder& left, const EngineOrder& right);

// An order to one rank. The rank refuses it in any other epoch.
struct RankOrder {
  RankIndex rank;
  GroupEpoch epoch;
  EngineOrder order;
};

// An engine's answer to an order.
enum class OrderAnswer {
  kDone,   // the requested state is reached
  kBegun,  // in progress; asking again shows the outcome
  // Does not fit the rank's state; was not and will not be carried out.
  kRefused,
  kUnanswered,  // no answer; may still be carried out, possibly much later
  // The rank did not respond right before, so the order was not sent to it.
  kNotSent,
};

struct ArmedMap {
  MapVersion version;
  StepNumber step;

  bool operator==(const ArmedMap&) const = default;
};

// State of one rank, as of a short time before it answered.
struct EngineReport {
  GroupEpoch epoch;
  bool is_open = false;  // the group has all its ranks
  StepNumber step;       // the last step that began
  MapVersion map;        // the map in use
  std::optional<MapVersion> prepared;
  std::optional<ArmedMap> armed;
  std::optional<StepNumber> held;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Step time relative to a healthy engine: above 1, the engine is slower than
  // it should be.
  double pace = 1.0;
};

// Number of times that the requests of a rank selected each expert since the
// rank started, by layer.
struct ExpertPicks {
  StepNumber step;
  GroupEpoch epoch;
  std::vector<std::uint64_t> counts;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_ENGINE_ORDER_H_
