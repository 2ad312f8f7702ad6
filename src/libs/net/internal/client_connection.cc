#include "libs/net/internal/client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>

#include "libs/net/http_status.h"
#include "libs/net/internal/await.h"
#include "libs/net/internal/beast_convert.h"
#include "libs/net/internal/head_checks.h"

namespace bilberryspool::net::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

ClientConnection::ClientConnection(boost::asio::io_context& io,
                                   const HttpClientOptions& options)
    : options_(options), stream_(io) {}

HttpError ClientConnection::Fail(const boost::system::error_code& error) {
  is_broken_ = true;
  HttpError failure = ToHttpError(error);
  if (is_cancelled_) {
    failure.kind = HttpErrorKind::kCancelled;
  }
  return failure;
}

HttpError ClientConnection::FailProtocol(std::string reason) {
  is_broken_ = true;
  return {HttpErrorKind::kProtocol, std::move(reason)};
}

std::optional<HttpError> ClientConnection::Connect(const Endpoint& endpoint,
                                                   Duration timeout) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error) {
    return HttpError{HttpErrorKind::kConnect, "not an address"};
  }
  const bool limited_by_caller = timeout < options_.connect_timeout;
  stream_.expires_after(limited_by_caller ? timeout : options_.connect_timeout);
  const IoOutcome outcome = Await([&](auto handler) {
    stream_.async_connect(tcp::endpoint(address, endpoint.port), handler);
  });
  if (outcome.error) {
    is_broken_ = true;
    // The caller's timeout was shorter than the connect timeout, so it does not
    // show that the peer is unreachable.
    const bool caller_timed_out =
        limited_by_caller && outcome.error == boost::beast::error::timeout;
    return HttpError{
        caller_timed_out ? HttpErrorKind::kTimeout : HttpErrorKind::kConnect,
        outcome.error.message()};
  }
  boost::system::error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  return std::nullopt;
}

std::variant<HttpResponseHead, HttpError> ClientConnection::Exchange(
    const HttpRequest& request,
    std::string_view body,
    const std::string& host,
    Duration timeout,
    const HttpClient::OnProcessing& on_processing) {
  const std::string head = MakeHeadText(request, body.size(), host);
  const std::array<boost::asio::const_buffer, 2> message = {
      boost::asio::buffer(head), boost::asio::buffer(body)};
  stream_.expires_after(timeout);
  const IoOutcome written = Await([&](auto handler) {
    boost::asio::async_write(stream_, message, handler);
  });
  if (written.error) {
    return Fail(written.error);
  }
  if (auto error = ReadHead(timeout, on_processing)) {
    return *error;
  }
  buffer_.max_size(std::max(buffer_.size(), kMaxBetweenChunks));
  return HttpResponseHead{static_cast<int>(parser_->get().result_int()),
                          FromFields(parser_->get())};
}

std::optional<HttpError> ClientConnection::ReadHead(
    Duration timeout,
    const HttpClient::OnProcessing& on_processing) {
  buffer_.max_size(options_.max_header_bytes + kReadAheadBytes);
  stream_.expires_after(timeout);
  for (std::size_t i = 0; i <= options_.max_interim_responses; ++i) {
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(options_.max_header_bytes));
    parser_->body_limit(options_.max_body_bytes);
    if (auto error = ReadOneHead()) {
      return error;
    }
    const int status = static_cast<int>(parser_->get().result_int());
    if (!status::IsValid(status) || status == status::kSwitchingProtocols) {
      return FailProtocol("status " + std::to_string(status) +
                          " is no answer to the request");
    }
    if (HasUnknownCoding(parser_->get())) {
      return FailProtocol("unknown transfer encoding");
    }
    if (!status::IsInterim(status)) {
      return std::nullopt;
    }
    if (on_processing) {
      on_processing();
      stream_.expires_after(timeout);
    }
  }
  return FailProtocol("too many interim responses");
}

// The parser takes each line with all that continue it, so that what it has
// parsed at a time holds a folded line as a whole.
std::optional<HttpError> ClientConnection::ReadOneHead() {
  constexpr std::size_t kMaxRead = 64UL * 1024;
  while (true) {
    boost::system::error_code error;
    if (buffer_.size() > 0) {
      const std::size_t parsed = parser_->put(buffer_.data(), error);
      if (HasFoldedLine(TextOf(buffer_).substr(0, parsed))) {
        return FailProtocol("folded header line");
      }
      buffer_.consume(parsed);
    }
    if (error && error != http::error::need_more) {
      return Fail(error);
    }
    if (parser_->is_header_done()) {
      return std::nullopt;
    }
    const auto space =
        buffer_.prepare(boost::beast::read_size(buffer_, kMaxRead));
    const IoOutcome read =
        Await([&](auto handler) { stream_.async_read_some(space, handler); });
    buffer_.commit(read.bytes);
    if (read.error) {
      return Fail(read.error);
    }
  }
}

StreamPiece ClientConnection::ReadPiece(Duration timeout) {
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    body.more = true;
    stream_.expires_after(timeout);
    const IoOutcome outcome = Await([&](auto handler) {
      http::async_read_some(stream_, buffer_, *parser_, handler);
    });
    const bool is_full = outcome.error == http::error::need_buffer;
    if (outcome.error && !is_full) {
      return Fail(outcome.error);
    }
    const std::size_t length = piece_.size() - body.size;
    if (length > 0) {
      return std::string(piece_.data(), length);
    }
  }
  return StreamEnd{};
}

void ClientConnection::Cancel() {
  is_cancelled_ = true;
  is_broken_ = true;
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

bool ClientConnection::is_reusable() const {
  return !is_broken_ && parser_.has_value() && parser_->is_done() &&
         parser_->get().keep_alive() && buffer_.size() == 0;
}

bool ClientConnection::is_stale() {
  char byte = 0;
  boost::system::error_code error;
  tcp::socket& socket = stream_.socket();
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1),
                 boost::asio::socket_base::message_peek, error);
  return error != boost::asio::error::would_block;
}

}  // namespace bilberryspool::net::internal
