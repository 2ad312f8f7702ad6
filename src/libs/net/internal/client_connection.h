#ifndef LIBS_NET_INTERNAL_CLIENT_CONNECTION_H_
#define LIBS_NET_INTERNAL_CLIENT_CONNECTION_H_

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "libs/net/http_client.h"

namespace bilberryspool::net::internal {

// One client connection, used for one exchange at a time.
class ClientConnection {
 public:
  ClientConnection(boost::asio::io_context& io,
                   const HttpClientOptions& options);

  // Connects within `timeout` or the options' connect timeout, whichever is
  // shorter.
  std::optional<HttpError> Connect(const Endpoint& endpoint, Duration timeout);

  // Sends the request and reads the head of the response.
  std::variant<HttpResponseHead, HttpError> Exchange(
      const HttpRequest& request,
      std::string_view body,
      const std::string& host,
      Duration timeout,
      const HttpClient::OnProcessing& on_processing);

  StreamPiece ReadPiece(Duration timeout);

  void Cancel();

  // Returns true after a complete response if both sides keep the connection
  // open.
  bool is_reusable() const;

  TimePoint idle_since() const { return idle_since_; }
  void set_idle_since(TimePoint time) { idle_since_ = time; }
  // Returns true if the peer has closed the idle connection or sent unrequested
  // data.
  bool is_stale();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  std::optional<HttpError> ReadHead(
      Duration timeout,
      const HttpClient::OnProcessing& on_processing);
  // Reads the head of the answer, or of one interim response.
  std::optional<HttpError> ReadOneHead();
  HttpError Fail(const boost::system::error_code& error);
  HttpError FailProtocol(std::string reason);

  // Room for one read beyond the limit of a head, which the parser then
  // reports.
  static constexpr std::size_t kReadAheadBytes = 64UL * 1024;
  // Bounds the beginning of a chunk and what follows the last one, of which the
  // parser needs all at a time.
  static constexpr std::size_t kMaxBetweenChunks = 8UL * 1024;

  const HttpClientOptions& options_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::array<char, 16UL * 1024> piece_{};
  TimePoint idle_since_;
  bool is_broken_ = false;
  bool is_cancelled_ = false;
};

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_CLIENT_CONNECTION_H_
