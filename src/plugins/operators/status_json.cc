#include "plugins/operators/status_json.h"

#include <boost/json.hpp>

namespace bilberryspool::operators {

std::string StatusJson(const control::OperatorControl& control, TimePoint now) {
  const control::ReplicaStatus status = control.replica_status(now);
  boost::json::object members;
  for (const auto& [node, standing] : status.members) {
    members[node.value()] = standing;
  }
  boost::json::array awaiting;
  for (const NodeId& node : status.awaiting_admission) {
    awaiting.emplace_back(node.value());
  }
  boost::json::object object;
  object["role"] = status.role;
  object["term"] = status.term;
  object["leader"] = nullptr;
  if (status.leader.has_value()) {
    object["leader"] = status.leader->value();
  }
  object["commit_index"] = status.commit_index;
  object["applied_index"] = status.applied_index;
  object["has_lease"] = status.has_lease;
  object["members"] = std::move(members);
  object["awaiting_admission"] = std::move(awaiting);
  object["version"] = control.configuration().version().value();
  object["config_age_s"] = nullptr;
  if (const auto age = control.config_age(now)) {
    object["config_age_s"] = ToSeconds(*age);
  }
  return boost::json::serialize(object) + "\n";
}

}  // namespace bilberryspool::operators
