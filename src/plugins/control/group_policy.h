// Runs the placement policy of one group on the expert counts of its ranks.

#ifndef PLUGINS_CONTROL_GROUP_POLICY_H_
#define PLUGINS_CONTROL_GROUP_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/config/configuration.h"
#include "libs/config/group_spec.h"
#include "libs/groups/expert_counts.h"
#include "libs/placement/placement_policy.h"
#include "libs/placement/popularity_estimator.h"

namespace bilberryspool::control {

// Inputs of the policy besides the expert counts.
struct PlacementSituation {
  placement::ExpertMap chosen;
  // All ranks are in the view and no change is under way.
  bool is_settled = false;
  double seconds_per_fetch = 0;
  std::uint32_t minute_of_day = 0;  // after midnight UTC
};

// No I/O; the time is an argument. Avoids decisions on too little data: it
// makes none before counts over several seconds are there, nor while a rank is
// missing.
class GroupPolicy {
 public:
  explicit GroupPolicy(config::GroupSpec spec);

  // `now` is the time at which the counts were received.
  void Observe(const groups::ExpertCounts& counts, TimePoint now);

  // Returns a better map, or nothing; why() gives the reason. Keeps operators'
  // pins and forbids. A declared move counts as a pin to its new rank and a
  // forbid for its old one.
  std::optional<placement::ExpertMap> Decide(
      const PlacementSituation& situation,
      const config::Configuration& configuration,
      TimePoint now);

  // The last decision with its reason, or what the policy waits for.
  const std::string& why() const { return why_; }

 private:
  placement::PlacementInput MakeInput(
      const PlacementSituation& situation,
      const config::Configuration& configuration,
      TimePoint now) const;

  config::GroupSpec spec_;
  placement::PopularityEstimator popularity_;
  std::optional<TimePoint> observed_since_;
  TimePoint last_change_;
  std::string why_ = "no expert counts yet";
};

// Whether the minute after midnight lies in one of the windows.
bool IsQuiet(const std::vector<config::QuietWindow>& windows,
             std::uint32_t minute);

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_GROUP_POLICY_H_
