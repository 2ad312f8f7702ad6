// Header fields of requests and answers of callers; see docs/CALLERS.md.

#ifndef PLUGINS_CALLERS_REQUEST_HEADERS_H_
#define PLUGINS_CALLERS_REQUEST_HEADERS_H_

#include <string_view>

namespace bilberryspool::callers {

inline constexpr std::string_view kRequestIdHeader = "Idempotency-Key";
inline constexpr std::string_view kWorkspaceHeader = "Bilberryspool-Workspace";
inline constexpr std::string_view kIdempotentHeader =
    "Bilberryspool-Idempotent";
inline constexpr std::string_view kPriorityHeader = "Bilberryspool-Priority";
inline constexpr std::string_view kDeadlineHeader = "Bilberryspool-Deadline-Ms";
inline constexpr std::string_view kFirstSendHeader = "Bilberryspool-First-Send";

// On answers: "answered", "not-run" or "unknown".
inline constexpr std::string_view kOutcomeHeader = "Bilberryspool-Outcome";
inline constexpr std::string_view kReasonHeader = "Bilberryspool-Reason";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";
inline constexpr std::string_view kRetryAfterMsHeader =
    "Bilberryspool-Retry-After-Ms";

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_REQUEST_HEADERS_H_
