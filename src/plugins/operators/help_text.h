#ifndef PLUGINS_OPERATORS_HELP_TEXT_H_
#define PLUGINS_OPERATORS_HELP_TEXT_H_

#include "libs/language/answer.h"

namespace bilberryspool::operators {

// Summary of the language with one form of a statement per line;
// docs/LANGUAGE.md has the full description.
language::Answer AnswerHelp();

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_HELP_TEXT_H_
