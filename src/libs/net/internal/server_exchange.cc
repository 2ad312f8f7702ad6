#include "libs/net/internal/server_exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "libs/net/internal/await.h"
#include "libs/net/internal/beast_convert.h"

namespace bilberryspool::net::internal {

namespace http = boost::beast::http;

ServerExchange::ServerExchange(ServerConnection& connection,
                               HttpRequest request)
    : connection_(connection), request_(std::move(request)) {}

const std::string& ServerExchange::peer_address() const {
  return connection_.peer_address_;
}

bool ServerExchange::Finish(const boost::system::error_code& error) {
  if (error) {
    is_broken_ = true;
    connection_.keep_alive_ = false;
    return false;
  }
  return true;
}

bool ServerExchange::SendProcessing() {
  if (has_responded_ || is_broken_) {
    return false;
  }
  http::response<http::empty_body> response(http::status::processing,
                                            connection_.http_version_);
  connection_.stream_.expires_after(connection_.state_->options.write_timeout);
  const IoOutcome outcome = Await([&](auto handler) {
    http::async_write(connection_.stream_, response, handler);
  });
  return Finish(outcome.error);
}

bool ServerExchange::Respond(HttpResponseHead head, std::string_view body) {
  if (has_responded_) {
    return false;
  }
  has_responded_ = true;
  if (connection_.state_->closes_after_answers) {
    connection_.keep_alive_ = false;
  }
  http::response<http::span_body<const char>> response;
  response.version(connection_.http_version_);
  response.result(static_cast<unsigned>(head.status));
  ToFields(head.headers, response);
  response.keep_alive(connection_.keep_alive_);
  const bool is_head = request_.method == "HEAD";
  response.body() = {is_head ? nullptr : body.data(),
                     is_head ? 0 : body.size()};
  response.content_length(body.size());
  connection_.HoldAnswer(body.size());
  connection_.stream_.expires_after(connection_.state_->options.write_timeout);
  const IoOutcome outcome = Await([&](auto handler) {
    http::async_write(connection_.stream_, response, handler);
  });
  is_complete_ = Finish(outcome.error);
  return is_complete_;
}

bool ServerExchange::BeginStream(HttpResponseHead head) {
  if (has_responded_) {
    return false;
  }
  has_responded_ = true;
  if (connection_.state_->closes_after_answers) {
    connection_.keep_alive_ = false;
  }
  http::response<http::empty_body> response;
  response.version(connection_.http_version_);
  response.result(static_cast<unsigned>(head.status));
  ToFields(head.headers, response);
  if (connection_.http_version_ >= 11) {
    response.chunked(true);
  } else {
    // HTTP/1.0 has no chunked encoding: closing the connection ends the body.
    connection_.keep_alive_ = false;
  }
  response.keep_alive(connection_.keep_alive_);
  http::response_serializer<http::empty_body> serializer(response);
  connection_.stream_.expires_after(connection_.state_->options.write_timeout);
  const IoOutcome outcome = Await([&](auto handler) {
    http::async_write_header(connection_.stream_, serializer, handler);
  });
  return Finish(outcome.error);
}

bool ServerExchange::WritePiece(std::string_view piece) {
  if (is_broken_ || piece.empty()) {
    return !is_broken_;
  }
  const boost::asio::const_buffer data(piece.data(), piece.size());
  connection_.stream_.expires_after(connection_.state_->options.write_timeout);
  const IoOutcome outcome = Await([&](auto handler) {
    if (connection_.http_version_ >= 11) {
      boost::asio::async_write(connection_.stream_, http::make_chunk(data),
                               handler);
    } else {
      boost::asio::async_write(connection_.stream_, data, handler);
    }
  });
  return Finish(outcome.error);
}

bool ServerExchange::EndStream() {
  if (is_broken_) {
    return false;
  }
  if (connection_.http_version_ < 11) {
    is_complete_ = true;
    return true;
  }
  connection_.stream_.expires_after(connection_.state_->options.write_timeout);
  const IoOutcome outcome = Await([&](auto handler) {
    boost::asio::async_write(connection_.stream_, http::make_chunk_last(),
                             handler);
  });
  is_complete_ = Finish(outcome.error);
  return is_complete_;
}

void ServerExchange::AbortStream() {
  is_broken_ = true;
  connection_.keep_alive_ = false;
  if (connection_.http_version_ < 11) {
    connection_.Reset();
  }
}

void ServerExchange::NotifyOnDisconnect(std::function<void()> on_disconnect) {
  connection_.on_disconnect_ = std::move(on_disconnect);
  connection_.WatchForClose();
}

}  // namespace bilberryspool::net::internal
