#ifndef LIBS_LANGUAGE_RENDERING_H_
#define LIBS_LANGUAGE_RENDERING_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/language/answer.h"

namespace bilberryspool::language {

// Renders an answer as plain text for people: a table with aligned columns,
// then the notes, each line terminated by a newline.
std::string RenderText(const Answer& answer);

// Renders an answer as JSON for programs:
// {"status", "columns", "rows": [{column: cell}], "notes"}.
std::string RenderJson(const Answer& answer);

// Parses the output of RenderJson(); none if `text` isn't a valid answer.
std::optional<Answer> AnswerFromJson(std::string_view text);

}  // namespace bilberryspool::language

#endif  // LIBS_LANGUAGE_RENDERING_H_
