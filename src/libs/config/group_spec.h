#ifndef LIBS_CONFIG_GROUP_SPEC_H_
#define LIBS_CONFIG_GROUP_SPEC_H_

#include <cstdint>
#include <vector>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/target_selector.h"

namespace bilberryspool::config {

// A daily time window in minutes after midnight UTC. It spans midnight if `end`
// is before `start`.
struct QuietWindow {
  std::uint32_t start = 0;
  std::uint32_t end = 0;

  bool operator==(const QuietWindow&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuietWindow, (), (start, end))

// An expert-parallel model group.
struct GroupSpec {
  using Key = GroupId;
  static constexpr const char* kKind = "group";

  GroupId id;
  ServiceId service;
  std::uint32_t ranks = 1;
  std::uint32_t layers = 1;
  std::uint32_t experts = 1;
  // Targets that may hold a rank, including spares. If empty, the targets
  // selected by `targets` may.
  std::vector<TargetId> members;
  TargetSelector targets = AnyTarget();
  // Weights of the step-time skew and of moved experts in the placement policy,
  // relative to each other.
  double skew_weight = 1.0;
  double rebalance_weight = 1.0;
  // Times of day at which the placement policy moves no experts on its own.
  std::vector<QuietWindow> quiet_windows;

  Key key() const { return id; }
  bool operator==(const GroupSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(GroupSpec,
                      (),
                      (id,
                       service,
                       ranks,
                       layers,
                       experts,
                       members,
                       targets,
                       skew_weight,
                       rebalance_weight,
                       quiet_windows))

// Whether a target in the given failure domain may hold a rank of the group.
bool MayHoldRank(const GroupSpec& group,
                 const TargetId& target,
                 const FailureDomain& domain);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_GROUP_SPEC_H_
