#include "libs/net/port_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "libs/net/internal/await.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::net {

PortState CheckPort(NetworkLoop& loop,
                    const Endpoint& endpoint,
                    Duration timeout) {
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error) {
    return PortState::kUnknown;
  }
  boost::beast::tcp_stream stream(loop.io());
  stream.expires_after(timeout);
  const internal::IoOutcome outcome = internal::Await([&](auto handler) {
    stream.async_connect(tcp::endpoint(address, endpoint.port), handler);
  });
  if (!outcome.error) {
    return PortState::kListening;
  }
  return outcome.error == boost::asio::error::connection_refused
             ? PortState::kClosed
             : PortState::kUnknown;
}

}  // namespace bilberryspool::net
