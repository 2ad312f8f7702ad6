// HTTP/1.1 server for fibers: one fiber per connection, limits on all input.

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

class ConnectionRegistry;
class NetworkLoop;

struct HttpServerOptions {
  Endpoint listen;
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  // Maximum time from the first byte of a request to the end of its head, and
  // to its last byte, so that a slow sender can't occupy a connection forever.
  Duration header_timeout = Seconds(20);
  Duration request_timeout = Seconds(20);
  // A connection without a request is closed after this time.
  Duration idle_timeout = Seconds(60);
  // Maximum time that a write to the caller may block.
  Duration write_timeout = Seconds(20);
  // Bounds what the connections hold together; servers of one process share it.
  // Null: this server has its own.
  std::shared_ptr<ConnectionRegistry> registry;
};

// One request and its response. The handler calls exactly one of Respond() and
// BeginStream().
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual HttpRequest& request() = 0;
  virtual const std::string& peer_address() const = 0;

  // Sends an interim "102 Processing" to show that the request is in progress.
  virtual bool SendProcessing() = 0;

  // Sends a complete response. Returns false if the caller has disconnected.
  virtual bool Respond(HttpResponseHead head, std::string_view body) = 0;

  // Sends a response in chunks. Each call returns false if the caller has
  // disconnected.
  virtual bool BeginStream(HttpResponseHead head) = 0;
  virtual bool WritePiece(std::string_view piece) = 0;
  virtual bool EndStream() = 0;
  // Closes the connection, so that the caller sees that the response is
  // incomplete: the last chunk is missing, or, in HTTP/1.0, it is reset.
  virtual void AbortStream() = 0;

  virtual bool has_responded() const = 0;

  // Calls `on_disconnect` once, from the loop's dispatcher, if the caller
  // closes the connection while its request is in progress. It must not
  // suspend.
  virtual void NotifyOnDisconnect(std::function<void()> on_disconnect) = 0;
};

using HttpHandler = std::function<void(HttpExchange&)>;

struct HttpServerCounts {
  std::size_t open_connections = 0;
  std::size_t requests_in_progress = 0;
  std::uint64_t accepted = 0;
  std::uint64_t bad_requests = 0;
};

// Listens on one address. Belongs to one NetworkLoop's thread.
class HttpServer {
 public:
  HttpServer(NetworkLoop& loop, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the listening socket and starts to accept connections. Returns an
  // empty string or an error message.
  std::string Start();

  // The port that the server listens on; needed if the options say 0.
  std::uint16_t port() const;

  // From now on each connection is closed after its current response; new ones
  // are still accepted. First phase of a planned stop: callers move to other
  // servers before their connections are closed.
  void CloseAfterAnswers();

  // Sets how long a connection may be idle, starting with its next idle period.
  void SetIdleTimeout(Duration timeout);

  // Sets the longest head and body and the time for the head, starting with the
  // next request of each connection.
  void SetRequestLimits(std::size_t max_header_bytes,
                        std::size_t max_body_bytes,
                        Duration header_timeout);

  // Stops accepting and closes idle connections; requests in progress continue
  // and their connections close after the response.
  void Drain();

  HttpServerCounts counts() const;

 private:
  struct Private;
  std::shared_ptr<Private> d_;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_HTTP_SERVER_H_
