#include "libs/net/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace bilberryspool::net {

std::string Endpoint::ToString() const {
  const bool is_v6 = address.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address + "]" : address;
  return host + ":" + std::to_string(port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon + 1 == text.size()) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = address.to_string();
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, status] = std::from_chars(
      digits.data(), digits.data() + digits.size(), endpoint.port);
  if (status != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace bilberryspool::net
