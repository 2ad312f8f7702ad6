// Events and actions of a rank machine.

#ifndef LIBS_GROUPS_RANK_EVENT_H_
#define LIBS_GROUPS_RANK_EVENT_H_

#include <string>
#include <variant>
#include <vector>

#include "libs/groups/group_message.h"

namespace bilberryspool::groups {

// The engine has dropped the orders of earlier agents and runs no step.
// `resident` lists the experts that the engine itself reports as loaded; empty
// if it can't tell.
struct EngineReset {
  std::vector<placement::ExpertKey> resident;
};
struct WeightsFetched {
  placement::ExpertKey key;
};
struct FetchFailed {
  placement::ExpertKey key;
};
struct StepFinished {
  StepId step;
};
struct StepAborted {
  StepId step;
};
struct OrderReceived {
  Order order;
};
struct RankMessageReceived {
  RankMessage message;
};
struct RankTick {};

using RankEvent = std::variant<EngineReset,
                               WeightsFetched,
                               FetchFailed,
                               StepFinished,
                               StepAborted,
                               OrderReceived,
                               RankMessageReceived,
                               RankTick>;

// Drops all earlier orders and aborts a running step. Completion is reported by
// `EngineReset`.
struct ResetEngine {};
struct FetchWeights {
  placement::ExpertKey key;
};
struct DropWeights {
  std::vector<placement::ExpertKey> keys;
};
// Runs one step with this map.
struct StartStep {
  StepId step;
  MapVersion map_version;
  std::shared_ptr<const placement::ExpertMap> map;
};
struct AbortStep {
  StepId step;
};
// Sent to the controller that holds the accepted token, or to every entry while
// none is known.
struct SendStatus {
  RankStatus status;
};
struct SendToRank {
  RankIndex rank;
  RankMessage message;
};
// While a rank is stalled or out, its agent answers callers immediately.
struct RankStateChanged {
  GroupState state = GroupState::kOut;
  std::string why;
};

using RankAction = std::variant<ResetEngine,
                                FetchWeights,
                                DropWeights,
                                StartStep,
                                AbortStep,
                                SendStatus,
                                SendToRank,
                                RankStateChanged>;

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_RANK_EVENT_H_
