#ifndef LIBS_LANGUAGE_GRAMMAR_H_
#define LIBS_LANGUAGE_GRAMMAR_H_

#include <optional>
#include <string_view>

#include "libs/language/expectations.h"
#include "libs/language/statement.h"

namespace bilberryspool::language::internal {

// The statement that `text` is as a whole, or none; `expectations` then says
// what was missing.
std::optional<Statement> ParseCompleteStatement(std::string_view text,
                                                Expectations& expectations);

// Letters, digits and "._-/:".
bool IsNameCharacter(char character);

}  // namespace bilberryspool::language::internal

#endif  // LIBS_LANGUAGE_GRAMMAR_H_
