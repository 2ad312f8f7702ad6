#include "libs/net/internal/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

#include "libs/net/http_status.h"
#include "libs/net/internal/await.h"
#include "libs/net/internal/beast_convert.h"
#include "libs/net/internal/head_checks.h"
#include "libs/net/internal/server_exchange.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::net::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

using Rejection = ServerConnection::Rejection;

Rejection ToRejection(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return {431, "request header fields too large\n"};
  }
  if (error == http::error::body_limit) {
    return {413, "request body too large\n"};
  }
  if (error == boost::beast::error::timeout) {
    return {408, "request was not whole in time\n"};
  }
  return {400, "malformed request\n"};
}

constexpr Duration kMinTimeout = Milliseconds(1);

constexpr Rejection kOverloaded = {503, "not run; come back later\n"};

// What the fields of a request hold: as they are here, as they are sent on, and
// in the form of the parser.
std::size_t HeldBytes(const HttpHeaders& headers) {
  constexpr std::size_t kCopies = 3;
  // Two short strings each, and the block that each copy is allocated in.
  constexpr std::size_t kFieldBytes = sizeof(HttpHeader) + 32;
  std::size_t bytes = 0;
  for (const HttpHeader& field : headers) {
    bytes += kFieldBytes + field.name.size() + field.value.size();
  }
  return kCopies * bytes;
}

// Returns the position after the empty line that ends the head, or npos.
std::size_t EndOfHead(std::string_view text) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::size_t found = text.find(kEnd);
  return found == std::string_view::npos ? found : found + kEnd.size();
}

// Returns an error if the request could be interpreted in two ways by different
// HTTP implementations (RFC 9112, sections 3.2 and 6.1).
std::optional<Rejection> FindAmbiguity(const http::fields& fields,
                                       unsigned version) {
  constexpr unsigned kHttp11 = 11;
  const auto hosts = fields.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && version >= kHttp11)) {
    return Rejection{400, "exactly one Host is needed\n"};
  }
  if (HasUnknownCoding(fields)) {
    return Rejection{501, "unknown transfer encoding\n"};
  }
  return std::nullopt;
}

}  // namespace

ServerConnection::ServerConnection(tcp::socket socket,
                                   std::shared_ptr<ServerState> state)
    : stream_(std::move(socket)), state_(std::move(state)) {
  boost::system::error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  const auto endpoint = stream_.socket().remote_endpoint(ignored);
  peer_address_ = endpoint.address().to_string();
}

void ServerConnection::Serve() {
  id_ = state_->options.registry->Add([this] { Evict(); }, SteadyNow());
  while (keep_alive_) {
    if (!WaitForFirstByte()) {
      break;
    }
    HttpRequest request;
    if (const auto failure = ReadRequest(request)) {
      request = {};
      if (const auto* rejection = std::get_if<Rejection>(&*failure)) {
        Reject(*rejection);
      }
      break;
    }
    if (!HandleRequest(std::move(request))) {
      break;
    }
  }
  state_->options.registry->Remove(id_);
  Close();
}

bool ServerConnection::WaitForFirstByte() {
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  request_bytes_ = 0;
  UpdateHeldBytes();
  if (buffer_.size() > 0) {
    return !is_evicted_;
  }
  if (state_->is_draining || is_evicted_) {
    return false;
  }
  is_idle_ = true;
  stream_.expires_after(state_->options.idle_timeout);
  constexpr std::size_t kFirstRead = 4096;
  const auto failure = ReadSome(kFirstRead);
  is_idle_ = false;
  return !failure.has_value();
}

std::optional<ServerConnection::ReadFailure> ServerConnection::ReadRequest(
    HttpRequest& request) {
  state_->options.registry->Enter(id_, ConnectionPhase::kReading, SteadyNow());
  Parser parser;
  // ReadHead() checks the head.
  parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  parser.body_limit(
      std::min(state_->options.max_body_bytes,
               state_->options.registry->budget().max_request_bytes()));
  const TimePoint began = SteadyNow();
  stream_.expires_after(std::min(state_->options.header_timeout,
                                 state_->options.request_timeout));
  if (const auto failure = ReadHead()) {
    return failure;
  }
  stream_.expires_after(std::max(
      state_->options.request_timeout - (SteadyNow() - began), kMinTimeout));
  if (HasFoldedLine(TextOf(buffer_).substr(0, EndOfHead(TextOf(buffer_))))) {
    return Rejection{400, "folded header line\n"};
  }
  // The whole head is in the buffer. Does not suspend: what the parser makes of
  // a head is long, and not yet counted.
  boost::system::error_code error;
  buffer_.consume(parser.put(buffer_.data(), error));
  if (error) {
    return ToFailure(error);
  }
  if (const auto rejection =
          FindAmbiguity(parser.get(), parser.get().version())) {
    return *rejection;
  }
  if (EqualNames(std::string(parser.get()[http::field::expect]),
                 "100-continue")) {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    Await([&](auto handler) {
      http::async_write(stream_, continue_response, handler);
    });
  }
  http_version_ = parser.get().version();
  keep_alive_ = parser.get().keep_alive();
  request.method = std::string(parser.get().method_string());
  request.target = std::string(parser.get().target());
  // Before the body: the parser adds trailers to the fields, unchecked.
  request.headers = FromFields(parser.get());
  return ReadBody(parser, request);
}

// Reads until the whole head is in the buffer, so that it can be checked before
// it is parsed.
std::optional<ServerConnection::ReadFailure> ServerConnection::ReadHead() {
  constexpr std::size_t kRead = 4096;
  constexpr std::size_t kEndBytes = 4;
  std::size_t searched = 0;
  while (EndOfHead(TextOf(buffer_).substr(searched)) ==
         std::string_view::npos) {
    if (buffer_.size() > state_->options.max_header_bytes) {
      return ToFailure(http::make_error_code(http::error::header_limit));
    }
    searched = buffer_.size() - std::min(buffer_.size(), kEndBytes - 1);
    if (const auto failure = ReadSome(kRead)) {
      return failure;
    }
  }
  if (EndOfHead(TextOf(buffer_)) > state_->options.max_header_bytes) {
    return ToFailure(http::make_error_code(http::error::header_limit));
  }
  return std::nullopt;
}

// The parser takes the beginning of a chunk, and all trailers, only when it has
// them whole; what waits for that is as bounded as the head.
std::optional<ServerConnection::ReadFailure> ServerConnection::ReadBody(
    Parser& parser,
    HttpRequest& request) {
  constexpr std::size_t kRead = 16UL * 1024;
  const std::size_t head_bytes = HeldBytes(request.headers);
  parser.eager(true);
  while (!parser.is_done()) {
    boost::system::error_code error;
    if (buffer_.size() > 0) {
      error = ParseBuffered(parser, request.body);
    }
    request_bytes_ = head_bytes + request.body.capacity();
    UpdateHeldBytes();
    if (error == http::error::need_buffer) {
      continue;
    }
    if (error && error != http::error::need_more) {
      return ToFailure(error);
    }
    if (parser.is_done()) {
      break;
    }
    if (buffer_.size() > state_->options.max_header_bytes) {
      return ToFailure(http::make_error_code(http::error::header_limit));
    }
    if (const auto failure = ReadSome(kRead)) {
      return failure;
    }
  }
  request_bytes_ = head_bytes + request.body.capacity();
  UpdateHeldBytes();
  if (is_evicted_ || !state_->options.registry->budget().MayHandle(id_)) {
    return kOverloaded;
  }
  return std::nullopt;
}

boost::system::error_code ServerConnection::ParseBuffered(Parser& parser,
                                                          std::string& body) {
  std::array<char, 8UL * 1024> piece;
  auto& target = parser.get().body();
  target.data = piece.data();
  target.size = piece.size();
  target.more = true;
  boost::system::error_code error;
  buffer_.consume(parser.put(buffer_.data(), error));
  body.append(piece.data(), piece.size() - target.size);
  return error;
}

std::optional<ServerConnection::ReadFailure> ServerConnection::ReadSome(
    std::size_t size) {
  const auto space = buffer_.prepare(size);
  UpdateHeldBytes();
  if (!is_evicted_) {
    const IoOutcome outcome =
        Await([&](auto handler) { stream_.async_read_some(space, handler); });
    if (outcome.error && !is_evicted_) {
      return ToFailure(outcome.error);
    }
    buffer_.commit(outcome.bytes);
  }
  if (is_evicted_) {
    return kOverloaded;
  }
  return std::nullopt;
}

ServerConnection::ReadFailure ServerConnection::ToFailure(
    const boost::system::error_code& error) const {
  const HttpErrorKind kind = ToHttpError(error).kind;
  if (kind == HttpErrorKind::kClosed || kind == HttpErrorKind::kCancelled) {
    return Closed{};
  }
  return ToRejection(error);
}

void ServerConnection::UpdateHeldBytes() {
  if (!is_evicted_) {
    state_->options.registry->Hold(id_, buffer_.capacity() + request_bytes_,
                                   SteadyNow());
  }
}

// Called from the fiber of another connection, or from UpdateHeldBytes().
void ServerConnection::Evict() {
  is_evicted_ = true;
  stream_.cancel();
}

void ServerConnection::HoldAnswer(std::size_t bytes) {
  if (bytes > 0) {
    state_->options.registry->Enter(id_, ConnectionPhase::kSending,
                                    SteadyNow());
    request_bytes_ += bytes;
    UpdateHeldBytes();
  }
}

void ServerConnection::Reject(const Rejection& rejection) {
  ++state_->counts.bad_requests;
  keep_alive_ = false;
  if (!stream_.socket().is_open()) {
    return;
  }
  buffer_.clear();
  buffer_.shrink_to_fit();
  ServerExchange exchange(*this, HttpRequest{});
  HttpResponseHead head;
  head.status = rejection.status;
  head.headers.Add("Content-Type", "text/plain");
  if (rejection.status == status::kUnavailable) {
    head.headers.Add("Retry-After", "1");
  }
  if (exchange.Respond(std::move(head), rejection.text) && !is_evicted_) {
    DiscardRest();
  }
}

// A close with bytes unread would reset the connection, perhaps before the
// client has read the answer.
void ServerConnection::DiscardRest() {
  constexpr Duration kMaxTime = Seconds(2);
  constexpr std::size_t kMaxBytes = 8UL * 1024 * 1024;
  constexpr std::size_t kRead = 16UL * 1024;
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  state_->options.registry->Enter(id_, ConnectionPhase::kWaiting, SteadyNow());
  request_bytes_ = 0;
  stream_.expires_after(kMaxTime);
  for (std::size_t bytes = 0; bytes < kMaxBytes; bytes += buffer_.size()) {
    buffer_.clear();
    if (ReadSome(kRead).has_value()) {
      return;
    }
  }
}

bool ServerConnection::HandleRequest(HttpRequest request) {
  ++state_->counts.requests_in_progress;
  state_->options.registry->Enter(id_, ConnectionPhase::kHandling, SteadyNow());
  ServerExchange exchange(*this, std::move(request));
  state_->handler(exchange);
  --state_->counts.requests_in_progress;
  on_disconnect_ = nullptr;
  if (!exchange.has_responded()) {
    HttpResponseHead head;
    head.status = 500;
    exchange.Respond(std::move(head), "no answer was made\n");
  }
  if (is_watching_) {
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
  }
  state_->options.registry->Enter(id_, ConnectionPhase::kWaiting, SteadyNow());
  return keep_alive_ && exchange.is_complete();
}

// No data is read from the caller while a handler runs, so a disconnect would
// go unnoticed and the work would continue without a receiver. Waiting until
// the socket is readable detects the disconnect; pipelined bytes stay in the
// socket for the next request.
void ServerConnection::WatchForClose() {
  if (is_watching_ || buffer_.size() > 0) {
    return;
  }
  is_watching_ = true;
  auto self = shared_from_this();
  stream_.socket().async_wait(
      tcp::socket::wait_read, [self](const boost::system::error_code& error) {
        self->is_watching_ = false;
        if (error || !self->on_disconnect_) {
          return;
        }
        char byte = 0;
        boost::system::error_code peeked;
        const std::size_t length = self->stream_.socket().receive(
            boost::asio::buffer(&byte, 1),
            boost::asio::socket_base::message_peek, peeked);
        if (length > 0 || peeked == boost::asio::error::would_block) {
          return;
        }
        const std::function<void()> on_disconnect =
            std::move(self->on_disconnect_);
        self->on_disconnect_ = nullptr;
        on_disconnect();
      });
}

void ServerConnection::CloseIfIdle() {
  if (is_idle_) {
    Close();
  }
}

void ServerConnection::Close() {
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.socket().close(ignored);
}

void ServerConnection::Reset() {
  boost::system::error_code ignored;
  stream_.socket().set_option(tcp::socket::linger(true, 0), ignored);
  stream_.socket().close(ignored);
}

}  // namespace bilberryspool::net::internal
