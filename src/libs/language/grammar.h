#ifndef LIBS_LANGUAGE_GRAMMAR_H_
#define LIBS_LANGUAGE_GRAMMAR_H_

#include <optional>
#include <string_view>

#include "libs/language/expectations.h"
#include "libs/language/statement.h"

namespace bilberryspool::language::internal {

// Parses `text` as one complete statement. On failure it returns none and
// `expectations` contains the expected tokens.
std::optional<Statement> ParseCompleteStatement(std::string_view text,
                                                Expectations& expectations);

// True for letters, digits and "._-/:".
bool IsNameCharacter(char character);

}  // namespace bilberryspool::language::internal

#endif  // LIBS_LANGUAGE_GRAMMAR_H_
