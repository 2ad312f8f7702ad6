// Converts expert maps between the configuration and a group's controller. Pure
// functions.

#ifndef PLUGINS_CONTROL_GROUP_MAPS_H_
#define PLUGINS_CONTROL_GROUP_MAPS_H_

#include <cstdint>

#include "libs/config/configuration.h"
#include "libs/config/group_spec.h"
#include "libs/config/map_spec.h"
#include "libs/groups/group_types.h"

namespace bilberryspool::control {

// Number of experts that a rank of the group can hold in one layer: two copies
// of its even share, and one more so that an expert can be moved.
std::uint32_t SlotsOf(const config::GroupSpec& group);

// The record that a controller starts from: the recorded map, or, if none is
// recorded for a model with these layers and experts, two copies of each expert
// distributed evenly over the ranks.
groups::MapRecord InitialRecord(const config::GroupSpec& group,
                                const config::MapSpec* recorded);

config::MapSpec ToMapSpec(const GroupId& group,
                          FencingToken token,
                          const groups::MapRecord& record);

// Returns `chosen` with the operators' moves, pins and forbids of the group
// applied. Idempotent: applying it to its own result changes nothing.
placement::ExpertMap WithOperatorOrders(
    placement::ExpertMap chosen,
    const GroupId& group,
    const config::Configuration& configuration);

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_GROUP_MAPS_H_
