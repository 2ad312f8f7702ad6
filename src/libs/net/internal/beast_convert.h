#ifndef LIBS_NET_INTERNAL_BEAST_CONVERT_H_
#define LIBS_NET_INTERNAL_BEAST_CONVERT_H_

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string>

#include "libs/net/http_error.h"
#include "libs/net/http_message.h"

namespace bilberryspool::net::internal {

HttpHeaders FromFields(const boost::beast::http::fields& fields);

// Copies all fields except the hop-by-hop ones.
void ToFields(const HttpHeaders& headers, boost::beast::http::fields& fields);

// The head of a request with a body of `body_bytes` bytes, as it is sent. The
// library would send each field as a buffer of its own, which takes a time that
// grows with the square of their number.
std::string MakeHeadText(const HttpRequest& request,
                         std::size_t body_bytes,
                         const std::string& host);

HttpError ToHttpError(const boost::system::error_code& error);

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_BEAST_CONVERT_H_
