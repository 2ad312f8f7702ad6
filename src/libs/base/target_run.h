#ifndef LIBS_BASE_TARGET_RUN_H_
#define LIBS_BASE_TARGET_RUN_H_

#include <compare>

#include "libs/base/ids.h"

namespace bilberryspool {

// One run of a target process, from its start to its termination.
struct TargetRun {
  TargetId target;
  Incarnation incarnation;

  auto operator<=>(const TargetRun&) const = default;
};

}  // namespace bilberryspool

#endif  // LIBS_BASE_TARGET_RUN_H_
