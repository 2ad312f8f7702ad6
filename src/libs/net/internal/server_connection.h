#ifndef LIBS_NET_INTERNAL_SERVER_CONNECTION_H_
#define LIBS_NET_INTERNAL_SERVER_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "libs/net/http_server.h"

namespace bilberryspool::net::internal {

// What the connections of one server share.
struct ServerState {
  HttpServerOptions options;
  HttpHandler handler;
  HttpServerCounts counts;
  // Answers end their connections.
  bool closes_after_answers = false;
  // Besides, nothing more is accepted.
  bool is_draining = false;
};

// One accepted connection: reads requests, one at a time, and lets the handler
// answer each. Pipelined requests wait in the buffer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // What a request that is not served is told.
  struct Rejection {
    int status;
    std::string_view text;
  };

  ServerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerState> state);

  // Serves until the connection ends; runs in a fiber of its own.
  void Serve();

  // Closes if it is waiting for a request.
  void CloseIfIdle();

 private:
  friend class ServerExchange;

  enum class ReadOutcome { kRequest, kClosed, kRejected };

  ReadOutcome ReadRequest(HttpRequest& request);
  std::optional<boost::system::error_code> ReadHead();
  ReadOutcome Reject(const Rejection& rejection);
  ReadOutcome RejectBadRequest(const boost::system::error_code& error);
  bool WaitForFirstByte();
  // Returns whether the connection stays open for another request.
  bool HandleRequest(HttpRequest request);
  void WatchForClose();
  void Close();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<ServerState> state_;
  std::string peer_address_;
  bool is_idle_ = false;
  bool keep_alive_ = true;
  unsigned http_version_ = 11;
  // Runs when the caller closes during a request.
  std::function<void()> on_disconnect_;
  bool is_watching_ = false;
};

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_SERVER_CONNECTION_H_
