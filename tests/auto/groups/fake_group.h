// Fake engines of a self-stepping group.

#ifndef AUTO_GROUPS_FAKE_GROUP_H_
#define AUTO_GROUPS_FAKE_GROUP_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "libs/base/overloaded.h"
#include "libs/groups/engine_order.h"

namespace bilberryspool::groups {

// The engines start steps by themselves and don't compare maps; deviations from
// the map of the first rank at the beginning of a step are counted.
class FakeGroup {
 public:
  struct Engine {
    MapVersion map;
    MapVersion highest;
    std::optional<MapVersion> prepared;
    std::optional<ArmedMap> armed;
    std::optional<StepNumber> held;
  };

  explicit FakeGroup(std::uint32_t ranks) : engines_(ranks) {}

  OrderAnswer Execute(const RankOrder& order) {
    if (order.epoch != epoch_) {
      return OrderAnswer::kRefused;
    }
    Engine& engine = engines_[order.rank.value()];
    return std::visit(
        Overloaded{[&](const PrepareMap& prepare) {
                     if (engine.prepared == prepare.version && !engine.armed) {
                       return OrderAnswer::kDone;
                     }
                     if (engine.armed || prepare.version <= engine.highest) {
                       return OrderAnswer::kRefused;
                     }
                     engine.highest = prepare.version;
                     engine.prepared = prepare.version;
                     return OrderAnswer::kDone;
                   },
                   [&](const ArmMap& arm) {
                     if (arm.step <= step_ || engine.prepared != arm.version) {
                       return OrderAnswer::kRefused;
                     }
                     engine.armed = {arm.version, arm.step};
                     return OrderAnswer::kDone;
                   },
                   [&](const DisarmMap& disarm) {
                     if (engine.armed &&
                         engine.armed->version == disarm.version) {
                       engine.armed.reset();
                     }
                     return engine.map == disarm.version ? OrderAnswer::kRefused
                                                         : OrderAnswer::kDone;
                   },
                   [&](const HoldStep& hold) {
                     if (hold.step <= step_ ||
                         (engine.held && *engine.held != hold.step)) {
                       return OrderAnswer::kRefused;
                     }
                     engine.held = hold.step;
                     return OrderAnswer::kDone;
                   },
                   [&](const ReleaseStep& release) {
                     if (engine.held == release.step) {
                       engine.held.reset();
                     }
                     return OrderAnswer::kDone;
                   }},
        order.order);
  }

  void BeginStep() {
    const StepNumber next = step_.Next();
    for (const Engine& engine : engines_) {
      if (engine.held == next) {
        ++stalled_attempts_;
        return;
      }
    }
    stalled_attempts_ = 0;
    step_ = next;
    for (Engine& engine : engines_) {
      if (engine.armed && engine.armed->step == step_) {
        engine.map = engine.armed->version;
        engine.armed.reset();
      }
    }
    for (const Engine& engine : engines_) {
      if (engine.map != engines_.front().map) {
        ++mixed_map_steps_;
      }
    }
  }

  EngineReport Report(RankIndex rank) const {
    const Engine& engine = engines_[rank.value()];
    EngineReport report;
    report.epoch = epoch_;
    report.is_open = true;
    report.step = step_;
    report.map = engine.map;
    report.prepared = engine.prepared;
    report.armed = engine.armed;
    report.held = engine.held;
    return report;
  }

  // A rank terminated: the group forms again and has lost all state.
  void Reform() {
    epoch_ = epoch_.Next();
    for (Engine& engine : engines_) {
      engine = {};
    }
  }

  MapVersion map() const { return engines_.front().map; }
  StepNumber step() const { return step_; }
  int mixed_map_steps() const { return mixed_map_steps_; }
  int stalled_attempts() const { return stalled_attempts_; }

 private:
  GroupEpoch epoch_{1};
  StepNumber step_{1};
  std::vector<Engine> engines_;
  int mixed_map_steps_ = 0;
  int stalled_attempts_ = 0;
};

}  // namespace bilberryspool::groups

#endif  // AUTO_GROUPS_FAKE_GROUP_H_
