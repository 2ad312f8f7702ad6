#include "libs/settings/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace bilberryspool::settings {
namespace {

// Returns the canonical spelling of an IP address, so that "::1" and "0:0::1"
// compare equal.
std::optional<std::string> Normalise(int family, const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(family, ip.c_str(), bytes.data()) != 1) {
    return std::nullopt;
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (inet_ntop(family, bytes.data(), text.data(), text.size()) == nullptr) {
    return std::nullopt;
  }
  return std::string(text.data());
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::string SocketAddress::ToString() const {
  const bool is_v6 = ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(port);
}

bool SocketAddress::is_wildcard() const {
  return ip == "0.0.0.0" || ip == "::";
}

bool SocketAddress::Overlaps(const SocketAddress& other) const {
  if (port != other.port) {
    return false;
  }
  return ip == other.ip || is_wildcard() || other.is_wildcard();
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  int family = AF_INET;
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  const auto ip = Normalise(family, std::string(host));
  if (!ip) {
    return std::nullopt;
  }
  return SocketAddress{*ip, *port};
}

std::ostream& operator<<(std::ostream& out, const SocketAddress& address) {
  return out << address.ToString();
}

}  // namespace bilberryspool::settings
