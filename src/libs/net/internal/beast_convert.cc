#include "libs/net/internal/beast_convert.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace bilberryspool::net::internal {

namespace http = boost::beast::http;

HttpHeaders FromFields(const http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

void ToFields(const HttpHeaders& headers, http::fields& fields) {
  for (const HttpHeader& field : headers) {
    if (IsHopByHopHeader(field.name)) {
      continue;
    }
    fields.insert(field.name, field.value);
  }
}

http::request<http::string_body> ToBeastRequest(const HttpRequest& request,
                                                const std::string& host) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  ToFields(request.headers, message);
  // A relayed request keeps the Host of its caller.
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, host);
  }
  message.keep_alive(true);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

HttpError ToHttpError(const boost::system::error_code& error) {
  if (error == boost::beast::error::timeout) {
    return {HttpErrorKind::kTimeout, "timed out"};
  }
  if (error == boost::asio::error::operation_aborted) {
    return {HttpErrorKind::kCancelled, "cancelled"};
  }
  const bool is_end = error == http::error::end_of_stream ||
                      error == http::error::partial_message;
  const auto& http_category =
      http::make_error_code(http::error::bad_version).category();
  if (error.category() == http_category && !is_end) {
    return {HttpErrorKind::kProtocol, error.message()};
  }
  return {HttpErrorKind::kClosed, error.message()};
}

}  // namespace bilberryspool::net::internal
