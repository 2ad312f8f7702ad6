#ifndef LIBS_BASE_TARGET_RUN_H_
#define LIBS_BASE_TARGET_RUN_H_

#include <compare>

#include "libs/base/ids.h"

namespace bilberryspool {

// One start of a target.
struct TargetRun {
  TargetId target;
  Incarnation incarnation;

  auto operator<=>(const TargetRun&) const = default;
};

}  // namespace bilberryspool

#endif  // LIBS_BASE_TARGET_RUN_H_
