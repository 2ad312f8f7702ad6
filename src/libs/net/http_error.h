#ifndef LIBS_NET_HTTP_ERROR_H_
#define LIBS_NET_HTTP_ERROR_H_

#include <string>

namespace bilberryspool::net {

// How far an HTTP exchange got before it failed.
enum class HttpErrorKind {
  kConnect,   // No connection: the request was not sent.
  kClosed,    // Closed before the response was complete.
  kTimeout,   // No progress within the timeout.
  kProtocol,  // The peer violated HTTP or exceeded a limit.
  kCancelled  // Cancelled by this side.
};

struct HttpError {
  HttpErrorKind kind = HttpErrorKind::kClosed;
  std::string text;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_HTTP_ERROR_H_
