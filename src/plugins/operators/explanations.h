// Answers of the `why` statement: the last decision on an object, with its
// inputs.

#ifndef PLUGINS_OPERATORS_EXPLANATIONS_H_
#define PLUGINS_OPERATORS_EXPLANATIONS_H_

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/language/answer.h"
#include "libs/language/statement.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

language::Answer AnswerWhy(const language::WhySubject& about,
                           const control::OperatorControl& control,
                           TimePoint now);

// The outcome of one request, if this entry knows it.
language::Answer AnswerRequest(const RequestId& request,
                               const control::OperatorControl& control);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_EXPLANATIONS_H_
