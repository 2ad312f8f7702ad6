#ifndef PLUGINS_OPERATORS_APPLIED_INDEX_H_
#define PLUGINS_OPERATORS_APPLIED_INDEX_H_

#include <optional>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

// The log index that this entry's replica has applied; none without a replica.
// 0 must not stand for "none": a new command that says it was issued after
// index 0 is refused as too old once outcomes of old commands have been
// discarded.
std::optional<LogIndex> AppliedIndex(const control::OperatorControl& control,
                                     TimePoint now);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_APPLIED_INDEX_H_
