#ifndef PLUGINS_OPERATORS_COVERAGE_ANSWER_H_
#define PLUGINS_OPERATORS_COVERAGE_ANSWER_H_

#include <string>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/language/answer.h"
#include "libs/spread/coverage.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

// "in force on 8 of 9 nodes".
std::string InForceText(const spread::Coverage& coverage);

// Adds a table of the nodes that lack the version, and a note for each failure
// domain that has not reported recently.
void AddLacking(const spread::Coverage& coverage, language::Answer& answer);

// The answers of `wait`: the version is in force on all nodes, or is not yet
// after the time `waited`.
language::Answer AnswerInForce(ConfigVersion version,
                               const spread::Coverage& coverage);
language::Answer AnswerNotInForce(ConfigVersion version,
                                  const spread::Coverage& coverage,
                                  Duration waited);

// Describes the result of a change for which the control replicas gave no
// outcome.
std::string DescribeFailure(const control::ControlFailure& failure);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_COVERAGE_ANSWER_H_
