// HTTP/1.1 server for fibers: one fiber a connection, limits on all input.

#ifndef LIBS_NET_HTTP_SERVER_H_
#define LIBS_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/base/time.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_message.h"

namespace bilberryspool::net {

class NetworkLoop;

struct HttpServerOptions {
  Endpoint listen;
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  std::size_t max_connections = 4096;
  // A request must be whole within this time of its first byte: a slow sender
  // can't hold a connection for good.
  Duration request_timeout = Seconds(20);
  // A connection without a request is closed after this time.
  Duration idle_timeout = Seconds(60);
  // A caller that takes nothing for this long is given up.
  Duration write_timeout = Seconds(20);
};

// One request and the way to answer it. Exactly one of Respond() or
// BeginStream() is called.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual HttpRequest& request() = 0;
  virtual const std::string& peer_address() const = 0;

  // Sends "102 Processing" ahead of the answer, as a sign of life.
  virtual bool SendProcessing() = 0;

  // Answers whole. False where the caller is gone.
  virtual bool Respond(HttpResponseHead head, std::string_view body) = 0;

  // Answers in pieces (chunked). Each is false where the caller is gone.
  virtual bool BeginStream(HttpResponseHead head) = 0;
  virtual bool WritePiece(std::string_view piece) = 0;
  virtual bool EndStream() = 0;
  // Breaks the connection off, so that the caller sees that the answer is not
  // whole.
  virtual void AbortStream() = 0;

  virtual bool has_responded() const = 0;

  // `on_disconnect` is called once, from the loop's dispatcher, when the caller
  // closes while its request is worked on. It must not suspend.
  virtual void NotifyOnDisconnect(std::function<void()> on_disconnect) = 0;
};

using HttpHandler = std::function<void(HttpExchange&)>;

struct HttpServerCounts {
  std::size_t open_connections = 0;
  std::size_t requests_in_progress = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused_over_limit = 0;
  std::uint64_t bad_requests = 0;
};

// Listens on one address. Belongs to one NetworkLoop's thread.
class HttpServer {
 public:
  HttpServer(NetworkLoop& loop, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the listening socket and starts to accept. An empty string, or what
  // went wrong.
  std::string Start();

  // The port that is listened on; useful where the options say 0.
  std::uint16_t port() const;

  // From now on each answer ends its connection; new ones are still accepted.
  // The first half of a planned stop: callers move on before they are closed.
  void CloseAfterAnswers();

  // How long a connection may be without a request, from the next one on.
  void SetIdleTimeout(Duration timeout);

  // Stops accepting and ends idle connections; requests in progress go on and
  // their connections close after the answer.
  void Drain();

  HttpServerCounts counts() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_HTTP_SERVER_H_
