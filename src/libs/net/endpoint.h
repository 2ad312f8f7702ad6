// An IP address and port; host names are never resolved.

#ifndef LIBS_NET_ENDPOINT_H_
#define LIBS_NET_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryspool::net {

struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  // "127.0.0.1:8080" or "[::1]:8080".
  std::string ToString() const;
};

// Parses "IPv4:port" or "[IPv6]:port"; returns std::nullopt for anything else.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_ENDPOINT_H_
