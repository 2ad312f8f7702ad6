// Decides whether a plan for a better map is worth computing.
//
// A plan takes a few milliseconds of processor time. Made for several groups
// twenty times a second, plans that change nothing take all that a control node
// with 0.15 of a core has. What its calls bring is then read too late and
// counts as not answered.
//
// Pure.

#ifndef PLUGINS_CONTROL_NODE_PLAN_GATE_H_
#define PLUGINS_CONTROL_NODE_PLAN_GATE_H_

#include <memory>
#include <optional>

#include "libs/placement/expert_map.h"

namespace bilberryspool::control_node {

class PlanGate {
 public:
  using Map = std::shared_ptr<const placement::ExpertMap>;

  // Whether a plan for `map` with this imbalance may gain `min_gain`, and has
  // not just been found not to.
  bool IsWorthPlanning(const Map& map,
                       double imbalance,
                       double min_gain) const {
    // No map has an imbalance below 1.
    const bool can_gain_enough = 1.0 - 1.0 / imbalance >= min_gain;
    const bool was_rejected = rejected_.has_value() && rejected_->map == map &&
                              min_gain >= rejected_->min_gain &&
                              imbalance < rejected_->imbalance + kMinGrowth;
    return can_gain_enough && !was_rejected;
  }
  // A plan gained less than `min_gain`.
  void OnRejected(Map map, double imbalance, double min_gain) {
    rejected_ = Rejected{std::move(map), imbalance, min_gain};
  }

 private:
  // A further plan for the same map is worth it once the imbalance has grown by
  // this much.
  static constexpr double kMinGrowth = 0.04;

  struct Rejected {
    Map map;
    double imbalance = 0.0;
    double min_gain = 0.0;
  };

  std::optional<Rejected> rejected_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_PLAN_GATE_H_
