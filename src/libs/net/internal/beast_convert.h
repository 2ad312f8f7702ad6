#ifndef LIBS_NET_INTERNAL_BEAST_CONVERT_H_
#define LIBS_NET_INTERNAL_BEAST_CONVERT_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "libs/net/http_error.h"
#include "libs/net/http_message.h"

namespace bilberryspool::net::internal {

HttpHeaders FromFields(const boost::beast::http::fields& fields);

// Copies all fields except the hop-by-hop ones.
void ToFields(const HttpHeaders& headers, boost::beast::http::fields& fields);

boost::beast::http::request<boost::beast::http::string_body> ToBeastRequest(
    const HttpRequest& request,
    const std::string& host);

HttpError ToHttpError(const boost::system::error_code& error);

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_BEAST_CONVERT_H_
