#ifndef LIBS_LANGUAGE_FILTER_H_
#define LIBS_LANGUAGE_FILTER_H_

#include <vector>

#include "libs/language/answer.h"
#include "libs/language/statement.h"

namespace bilberryspool::language {

// Keeps the rows of the answer's table that match all filters. Numbers are
// compared as numbers, flags as the words "yes" and "no", everything else as
// text. An unknown column makes the answer invalid; its note lists the existing
// columns.
void ApplyFilters(const std::vector<Filter>& filters, Answer& answer);

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_FILTER_H_
