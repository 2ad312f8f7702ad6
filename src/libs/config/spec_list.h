#ifndef LIBS_CONFIG_SPEC_LIST_H_
#define LIBS_CONFIG_SPEC_LIST_H_

#include "libs/config/control_member_spec.h"
#include "libs/config/drain_spec.h"
#include "libs/config/forbid_spec.h"
#include "libs/config/group_spec.h"
#include "libs/config/lease_spec.h"
#include "libs/config/map_spec.h"
#include "libs/config/move_spec.h"
#include "libs/config/pin_spec.h"
#include "libs/config/placement_spec.h"
#include "libs/config/priority_spec.h"
#include "libs/config/service_spec.h"
#include "libs/config/setting_spec.h"
#include "libs/config/target_spec.h"
#include "libs/config/workspace_spec.h"

namespace bilberryspool::config {

// A list of object types. Into<Holder, Each> is Holder with Each<Spec> of every
// type in the list, such as a variant of updates or a tuple of tables.
template <typename... Specs>
struct SpecList {
  template <template <typename...> typename Holder,
            template <typename>
            typename Each>
  using Into = Holder<Each<Specs>...>;
};

// Every kind of object that a configuration holds.
using AllSpecs = SpecList<ServiceSpec,
                          WorkspaceSpec,
                          PrioritySpec,
                          GroupSpec,
                          PlacementSpec,
                          TargetSpec,
                          DrainSpec,
                          PinSpec,
                          ForbidSpec,
                          MoveSpec,
                          SettingSpec,
                          ControlMemberSpec,
                          LeaseSpec,
                          MapSpec>;

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_SPEC_LIST_H_
