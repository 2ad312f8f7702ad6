#include "libs/groups/engine_order.h"

#include "libs/base/overloaded.h"

namespace bilberryspool::groups {

bool SameOrder(const EngineOrder& left, const EngineOrder& right) {
  if (left.index() != right.index()) {
    return false;
  }
  return std::visit(
      Overloaded{[&](const PrepareMap& order) {
                   return order.version == std::get<PrepareMap>(right).version;
                 },
                 [&](const ArmMap& order) {
                   const auto& other = std::get<ArmMap>(right);
                   return order.version == other.version &&
                          order.step == other.step;
                 },
                 [&](const DisarmMap& order) {
                   return order.version == std::get<DisarmMap>(right).version;
                 },
                 [&](const HoldStep& order) {
                   return order.step == std::get<HoldStep>(right).step;
                 },
                 [&](const ReleaseStep& order) {
                   return order.step == std::get<ReleaseStep>(right).step;
                 }},
      left);
}

}  // namespace bilberryspool::groups
