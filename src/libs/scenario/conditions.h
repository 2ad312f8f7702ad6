#ifndef LIBS_SCENARIO_CONDITIONS_H_
#define LIBS_SCENARIO_CONDITIONS_H_

#include <functional>
#include <string>

#include "libs/scenario/statement.h"
#include "libs/scenario/world.h"

namespace bilberryspool::scenario {

// Resolves a name of a script to a node.
using ResolveName = std::function<NodeId(const std::string& name)>;

// Whether the condition is met now.
bool Holds(const Condition& condition,
           const World& world,
           const ResolveName& resolve);

// Describes a condition that was not met, with the observed state.
std::string Describe(const Condition& condition, const World& world);

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_CONDITIONS_H_
