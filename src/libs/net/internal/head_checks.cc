#include "libs/net/internal/head_checks.h"

#include <string>

#include "libs/net/http_message.h"

namespace bilberryspool::net::internal {

namespace http = boost::beast::http;

std::string_view TextOf(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

bool HasUnknownCoding(const http::fields& fields) {
  const auto coding = fields.find(http::field::transfer_encoding);
  return coding != fields.end() &&
         (fields.count(http::field::transfer_encoding) > 1 ||
          !EqualNames(std::string(coding->value()), "chunked"));
}

}  // namespace bilberryspool::net::internal
