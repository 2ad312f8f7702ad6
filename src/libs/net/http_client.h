// HTTP/1.1 client for fibers with pooled connections; reads responses as a
// whole or as a stream.

#ifndef LIBS_NET_HTTP_CLIENT_H_
#define LIBS_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libs/base/time.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_error.h"
#include "libs/net/http_message.h"

namespace bilberryspool::net {

class NetworkLoop;

struct HttpClientOptions {
  Duration connect_timeout = Milliseconds(1000);
  // A pooled connection that was idle for longer is not reused.
  Duration idle_timeout = Seconds(20);
  std::size_t max_idle_per_endpoint = 64;
  std::size_t max_header_bytes = 32UL * 1024;
  std::size_t max_body_bytes = 64UL * 1024 * 1024;
  // A peer that works for long sends one each second.
  std::size_t max_interim_responses = 1000;
};

// For calls to engines that are read as a whole: their reports, counts and maps
// take less than 1 MB, and a faulty engine may send bytes without an end.
HttpClientOptions OptionsForReports();

// The end of a streamed body.
struct StreamEnd {};

// A part of the body, its end, or the error that interrupted it.
using StreamPiece = std::variant<std::string, StreamEnd, HttpError>;

// A response whose body is read piece by piece.
class HttpClientStream {
 public:
  virtual ~HttpClientStream() = default;

  virtual const HttpResponseHead& head() const = 0;
  // Waits for the next piece. Returns kTimeout if none arrived within
  // `timeout`; the stream is unusable after that.
  virtual StreamPiece Read(Duration timeout) = 0;
  // Aborts the stream, from any fiber of the loop; a waiting Read() returns at
  // once.
  virtual void Cancel() = 0;
};

// Lets another fiber abort an Open() that is still waiting for the head.
class Cancellation;

// A client with its own connection pool. Belongs to one NetworkLoop's thread.
class HttpClient {
 public:
  using OpenResult = std::variant<std::unique_ptr<HttpClientStream>, HttpError>;
  using SendResult = std::variant<HttpResponse, HttpError>;
  // Called for each interim response, such as "102 Processing"; the peer is
  // still working on the request.
  using OnProcessing = std::function<void()>;

  HttpClient(NetworkLoop& loop, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request` and waits for the head of the response. `timeout` bounds
  // the time to connect and the wait for the head; with `on_processing` it
  // starts again after each interim response. A pooled connection that turns
  // out to be closed before any response gives kClosed, as the request may have
  // run. With `body`, that is sent instead of the request's, which is not
  // copied; it must stay valid until the call returns.
  OpenResult Open(const Endpoint& endpoint,
                  const HttpRequest& request,
                  Duration timeout,
                  std::shared_ptr<Cancellation> cancellation = nullptr,
                  const OnProcessing& on_processing = nullptr,
                  std::optional<std::string_view> body = std::nullopt);

  // Sends `request` and reads the whole response within `timeout`.
  SendResult Send(const Endpoint& endpoint,
                  const HttpRequest& request,
                  Duration timeout);

  // Closes the idle connections to `endpoint`, whose peer may no longer exist.
  void DropIdle(const Endpoint& endpoint);

  std::size_t idle_connections() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_HTTP_CLIENT_H_
