// Tables of the live state, in addition to those made from the accepted
// configuration alone.

#ifndef PLUGINS_OPERATORS_LIVE_TABLES_H_
#define PLUGINS_OPERATORS_LIVE_TABLES_H_

#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/language/answer.h"
#include "libs/language/statement.h"
#include "libs/membership/target_view.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

// The answer of `show`, filtered, with the version of the configuration that it
// is based on and the age of that.
language::Answer AnswerShow(const language::ShowStatement& statement,
                            const control::OperatorControl& control,
                            TimePoint now);

// One row per target: its domain, whether it is offered and why, its load and
// the age of the load.
language::AnswerTable TargetsTable(
    const std::vector<membership::TargetView>& views,
    const config::Configuration& configuration);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_LIVE_TABLES_H_
