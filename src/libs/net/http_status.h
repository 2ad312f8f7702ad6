// The HTTP status codes that the program sends or distinguishes (RFC 9110).

#ifndef LIBS_NET_HTTP_STATUS_H_
#define LIBS_NET_HTTP_STATUS_H_

namespace bilberryspool::net::status {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kFirstRedirect = 300;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kMisdirected = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Parsers accept any three digits (RFC 9110, section 15).
constexpr bool IsValid(int code) {
  constexpr int kFirst = 100;
  constexpr int kEnd = 600;
  return code >= kFirst && code < kEnd;
}

// Another answer follows (RFC 9110, section 15.2).
constexpr bool IsInterim(int code) {
  return IsValid(code) && code < kOk;
}

constexpr bool IsSuccess(int code) {
  return code >= kOk && code < kFirstRedirect;
}

}  // namespace bilberryspool::net::status

#endif  // LIBS_NET_HTTP_STATUS_H_
