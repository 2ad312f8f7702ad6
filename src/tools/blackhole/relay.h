// A TCP relay that can lose track of its connections, as a firewall or address
// translator does: the ends stay open and nothing passes any more.

#ifndef TOOLS_BLACKHOLE_RELAY_H_
#define TOOLS_BLACKHOLE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

#include "libs/base/time.h"
#include "libs/net/endpoint.h"

namespace bilberryspool::blackhole {

class RelayedConnection;

// What becomes of a connection that arrives.
// kUnanswered: what the caller sends arrives, no answer comes back.
enum class NewConnections { kRelayed, kSilent, kRefused, kUnanswered };

// Belongs to the thread that runs `io`.
class Relay {
 public:
  Relay(boost::asio::io_context& io, net::Endpoint listen, net::Endpoint to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Empty, or what went wrong.
  std::string Start();

  // The present connections carry nothing more, in either direction, and
  // neither end hears of the other's closing.
  void SilenceOpenConnections();
  // Breaks the present connections off.
  void CloseOpenConnections();
  void set_new_connections(NewConnections mode) { mode_ = mode; }
  // How late each piece arrives from now on, in either direction.
  void set_delay(Duration delay) { delay_ = delay; }
  Duration delay() const { return delay_; }

  std::size_t open_connections() const { return connections_.size(); }
  std::size_t accepted() const { return accepted_; }

 private:
  void Accept();
  void AddConnection(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  net::Endpoint listen_;
  net::Endpoint to_;
  boost::asio::ip::tcp::acceptor acceptor_;
  NewConnections mode_ = NewConnections::kRelayed;
  Duration delay_{};
  std::size_t accepted_ = 0;
  std::set<std::shared_ptr<RelayedConnection>> connections_;
};

}  // namespace bilberryspool::blackhole

#endif  // TOOLS_BLACKHOLE_RELAY_H_
