#include "libs/net/internal/beast_convert.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

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

std::string MakeHeadText(const HttpRequest& request,
                         std::size_t body_bytes,
                         const std::string& host) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  for (const HttpHeader& field : request.headers) {
    if (!IsHopByHopHeader(field.name)) {
      add(field.name, field.value);
    }
  }
  // A relayed request keeps the Host of its caller.
  if (!request.headers.Find("Host").has_value()) {
    add("Host", host);
  }
  const bool has_body_by_method = request.method == "POST" ||
                                  request.method == "PUT" ||
                                  request.method == "OPTIONS";
  if (body_bytes > 0 || has_body_by_method) {
    add("Content-Length", std::to_string(body_bytes));
  }
  text += "\r\n";
  return text;
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
