// Header fields between the operators' client and an entry.

#ifndef PLUGINS_OPERATORS_OPERATOR_HEADERS_H_
#define PLUGINS_OPERATORS_OPERATOR_HEADERS_H_

#include <string_view>

namespace bilberryspool::operators {

// Name of the operator who sends the statement.
inline constexpr std::string_view kOperatorHeader = "Bilberryspool-Operator";
// The id of a change; a resend carries the same id. Also sent in the answer.
inline constexpr std::string_view kCommandIdHeader = "Bilberryspool-Command-Id";
// Expected version, like "at version N" in the statement.
inline constexpr std::string_view kReadVersionHeader =
    "Bilberryspool-Read-Version";
// The applied index seen before the change was first sent. A resend carries the
// same index, so that it is refused if its first outcome has been discarded.
inline constexpr std::string_view kIssuedAfterHeader =
    "Bilberryspool-Issued-After";
// In an answer: the accepted version in force on the entry, and the index that
// its replica has applied.
inline constexpr std::string_view kVersionHeader = "Bilberryspool-Version";
inline constexpr std::string_view kAppliedIndexHeader =
    "Bilberryspool-Applied-Index";

inline constexpr std::string_view kJsonType = "application/json";

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_OPERATOR_HEADERS_H_
