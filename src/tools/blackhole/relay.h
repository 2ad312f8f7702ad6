// A TCP relay that can drop the state of its connections, as a firewall or a
// NAT device does: both ends stay open, but no data passes any more.

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

// Handling of new connections. kUnanswered: data from the caller is relayed,
// data to the caller is dropped.
enum class NewConnections { kRelayed, kSilent, kRefused, kUnanswered };

// Must only be used in the thread that runs `io`.
class Relay {
 public:
  Relay(boost::asio::io_context& io, net::Endpoint listen, net::Endpoint to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Returns an empty string, or an error message.
  std::string Start();

  // Drops all further data of the open connections, in both directions. Neither
  // end notices when the other one closes.
  void SilenceOpenConnections();
  // Closes all open connections.
  void CloseOpenConnections();
  void set_new_connections(NewConnections mode) { mode_ = mode; }
  // Delays each piece of data from now on, in both directions.
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
