#include "libs/config/group_spec.h"

#include <algorithm>

namespace bilberryspool::config {

bool MayHoldRank(const GroupSpec& group,
                 const TargetId& target,
                 const FailureDomain& domain) {
  if (group.members.empty()) {
    return Selects(group.targets, target, domain);
  }
  return std::find(group.members.begin(), group.members.end(), target) !=
         group.members.end();
}

}  // namespace bilberryspool::config
