// Header fields of requests and responses between an entry and an agent, in
// addition to those of libs/net/link_authenticator.h.

#ifndef LIBS_LINKS_LINK_HEADERS_H_
#define LIBS_LINKS_LINK_HEADERS_H_

#include <string_view>

namespace bilberryspool::links {

// JSON of attempts::StartAttempt.
inline constexpr std::string_view kStartHeader = "Bilberryspool-Start";
// JSON of attempts::AttemptRef, with kOffsetHeader: resume its response at this
// offset.
inline constexpr std::string_view kResumeHeader = "Bilberryspool-Resume";
inline constexpr std::string_view kOffsetHeader = "Bilberryspool-Offset";
// "true" if the work may be cancelled and run again.
inline constexpr std::string_view kIdempotentHeader =
    "Bilberryspool-Idempotent";
// On an agent's response: JSON of attempts::AttemptRefusal.
inline constexpr std::string_view kRefusalHeader = "Bilberryspool-Refusal";
// On an agent's response: "engine" if the engine failed the attempt, "gone" if
// the response is no longer kept from the requested offset on.
inline constexpr std::string_view kFailureHeader = "Bilberryspool-Failure";
// On an agent's response: its current admission token,
// "INCARNATION.GENERATION.EPOCH".
inline constexpr std::string_view kTokenHeader = "Bilberryspool-Token";
// On an agent's response: its load, "RUNNING/QUEUED/LIMIT".
inline constexpr std::string_view kLoadHeader = "Bilberryspool-Load";

// Path of JSON-RPC calls.
inline constexpr std::string_view kRpcPath = "/bilberryspool/rpc";

}  // namespace bilberryspool::links

#endif  // LIBS_LINKS_LINK_HEADERS_H_
