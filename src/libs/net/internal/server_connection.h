#ifndef LIBS_NET_INTERNAL_SERVER_CONNECTION_H_
#define LIBS_NET_INTERNAL_SERVER_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libs/net/connection_registry.h"
#include "libs/net/http_server.h"

namespace bilberryspool::net::internal {

// State shared by the connections of one server.
struct ServerState {
  HttpServerOptions options;
  HttpHandler handler;
  HttpServerCounts counts;
  // Connections are closed after their current response.
  bool closes_after_answers = false;
  // In addition, no new connection or request is accepted.
  bool is_draining = false;
};

// One accepted connection: reads one request at a time and passes it to the
// handler. Pipelined requests wait in the buffer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Status and text of the response to a request that is not served.
  struct Rejection {
    int status;
    std::string_view text;
  };

  ServerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerState> state);

  // Serves requests until the connection ends; runs in its own fiber.
  void Serve();

  // Closes the connection if it is waiting for a request.
  void CloseIfIdle();

 private:
  friend class ServerExchange;

  // What the client did not send as a request: nothing, as it has closed, or
  // something that is not served.
  struct Closed {};
  using ReadFailure = std::variant<Closed, Rejection>;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  std::optional<ReadFailure> ReadRequest(HttpRequest& request);
  std::optional<ReadFailure> ReadHead();
  std::optional<ReadFailure> ReadBody(Parser& parser, HttpRequest& request);
  // Moves what the buffer has of the body to `body`. Returns need_more where
  // the rest of a chunk's beginning or of the trailers is missing, and
  // need_buffer where it has to be called again.
  boost::system::error_code ParseBuffered(Parser& parser, std::string& body);
  // Reads up to `size` bytes into the buffer.
  std::optional<ReadFailure> ReadSome(std::size_t size);
  ReadFailure ToFailure(const boost::system::error_code& error) const;
  void Reject(const Rejection& rejection);
  // Reads and ignores what the client still sends, for a while.
  void DiscardRest();
  bool WaitForFirstByte();
  // Returns whether the connection stays open for another request.
  bool HandleRequest(HttpRequest request);
  // A whole answer is about to be sent.
  void HoldAnswer(std::size_t bytes);
  // Tells the registry what the connection holds.
  void UpdateHeldBytes();
  void Evict();
  void WatchForClose();
  void Close();
  // Closes the connection so that its caller gets an error.
  void Reset();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<ServerState> state_;
  std::string peer_address_;
  ConnectionId id_;
  // What the present request holds besides the buffer.
  std::size_t request_bytes_ = 0;
  // The registry had no room; what was read is not served.
  bool is_evicted_ = false;
  bool is_idle_ = false;
  bool keep_alive_ = true;
  unsigned http_version_ = 11;
  // Called if the caller disconnects during a request.
  std::function<void()> on_disconnect_;
  bool is_watching_ = false;
};

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_SERVER_CONNECTION_H_
