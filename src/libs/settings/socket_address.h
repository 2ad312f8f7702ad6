#ifndef LIBS_SETTINGS_SOCKET_ADDRESS_H_
#define LIBS_SETTINGS_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>

namespace bilberryspool::settings {

// An IP address with a port; never a host name, since a process must be able to
// start while name servers are unreachable.
struct SocketAddress {
  std::string ip;          // "10.0.0.1" or "fd00::1", without brackets
  std::uint16_t port = 0;  // 1..65535 once parsed

  // "10.0.0.1:80" or "[fd00::1]:80".
  std::string ToString() const;
  // True for "0.0.0.0" and "::", which stand for all addresses of the VM.
  bool is_wildcard() const;
  // Returns true if two listeners can't use both addresses: the ports are equal
  // and the IP addresses are equal or one is a wildcard.
  bool Overlaps(const SocketAddress& other) const;

  bool operator==(const SocketAddress&) const = default;
  bool operator<(const SocketAddress& other) const {
    return std::tie(ip, port) < std::tie(other.ip, other.port);
  }
};

// Returns std::nullopt if `text` is not "ip:port" or "[ipv6]:port".
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

std::ostream& operator<<(std::ostream& out, const SocketAddress& address);

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_SOCKET_ADDRESS_H_
