#include "tools/blackhole/relay.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <utility>

namespace bilberryspool::blackhole {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kBufferBytes = 16UL * 1024;

tcp::endpoint ToTcp(const net::Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace

// Two sockets, and the data in transit between them. End 0 is the caller's, end
// 1 leads to the destination.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
 public:
  RelayedConnection(boost::asio::io_context& io,
                    tcp::socket caller,
                    const Relay& relay,
                    std::function<void()> on_closed)
      : ends_{End(std::move(caller)), End(tcp::socket(io))},
        relay_(relay),
        delay_timer_{boost::asio::steady_timer(io),
                     boost::asio::steady_timer(io)},
        on_closed_(std::move(on_closed)) {}

  void Start(const tcp::endpoint& to) {
    ends_[1].socket.async_connect(
        to, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Close();
            return;
          }
          self->Read(1);
        });
    Read(0);
  }

  // Drops all data in both directions; an end that closes stays unnoticed by
  // the other one.
  void Silence() { is_silent_ = true; }
  // Drops all data from the destination to the caller.
  void DropAnswers() { drops_answers_ = true; }

  void Close() {
    if (std::exchange(is_closed_, true)) {
      return;
    }
    for (End& end : ends_) {
      error_code ignored;
      end.socket.close(ignored);
    }
    on_closed_();
  }

 private:
  struct End {
    explicit End(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<char, kBufferBytes> buffer{};
    bool has_ended = false;
  };

  void Read(std::size_t side) {
    End& from = ends_.at(side);
    from.socket.async_read_some(boost::asio::buffer(from.buffer),
                                [self = shared_from_this(), side](
                                    const error_code& error, std::size_t size) {
                                  if (error) {
                                    self->OnEnd(side);
                                    return;
                                  }
                                  self->Forward(side, size);
                                });
  }

  void Forward(std::size_t side, std::size_t size) {
    if (is_silent_ || (drops_answers_ && side == 1)) {
      Read(side);
      return;
    }
    if (relay_.delay() > Duration::zero()) {
      boost::asio::steady_timer& timer = delay_timer_.at(side);
      timer.expires_after(relay_.delay());
      timer.async_wait(
          [self = shared_from_this(), side, size](const error_code& /*error*/) {
            self->Write(side, size);
          });
      return;
    }
    Write(side, size);
  }

  void Write(std::size_t side, std::size_t size) {
    End& from = ends_.at(side);
    boost::asio::async_write(
        ends_.at(1 - side).socket,
        boost::asio::buffer(from.buffer.data(), size),
        [self = shared_from_this(), side](const error_code& error,
                                          std::size_t /*size*/) {
          if (error) {
            self->OnEnd(1 - side);
            return;
          }
          self->Read(side);
        });
  }

  void OnEnd(std::size_t side) {
    End& end = ends_.at(side);
    end.has_ended = true;
    error_code ignored;
    end.socket.close(ignored);
    const bool are_both_closed = ends_[0].has_ended && ends_[1].has_ended;
    if (!is_silent_ || are_both_closed) {
      Close();
    }
  }

  std::array<End, 2> ends_;
  const Relay& relay_;
  std::array<boost::asio::steady_timer, 2> delay_timer_;
  std::function<void()> on_closed_;
  bool is_silent_ = false;
  bool drops_answers_ = false;
  bool is_closed_ = false;
};

Relay::Relay(boost::asio::io_context& io,
             net::Endpoint listen,
             net::Endpoint to)
    : io_(io), listen_(std::move(listen)), to_(std::move(to)), acceptor_(io) {}

Relay::~Relay() = default;

std::string Relay::Start() {
  error_code error;
  const tcp::endpoint at = ToTcp(listen_);
  acceptor_.open(at.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(at, error);
  }
  if (!error) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return listen_.ToString() + ": " + error.message();
  }
  Accept();
  return "";
}

void Relay::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!error) {
      AddConnection(std::move(socket));
    }
    Accept();
  });
}

void Relay::AddConnection(tcp::socket socket) {
  ++accepted_;
  if (mode_ == NewConnections::kRefused) {
    return;
  }
  auto slot = std::make_shared<std::weak_ptr<RelayedConnection>>();
  auto connection = std::make_shared<RelayedConnection>(
      io_, std::move(socket), *this,
      [this, slot] { connections_.erase(slot->lock()); });
  *slot = connection;
  connections_.insert(connection);
  if (mode_ == NewConnections::kSilent) {
    connection->Silence();
  } else if (mode_ == NewConnections::kUnanswered) {
    connection->DropAnswers();
  }
  connection->Start(ToTcp(to_));
}

void Relay::SilenceOpenConnections() {
  for (const auto& connection : connections_) {
    connection->Silence();
  }
}

void Relay::CloseOpenConnections() {
  // Iterates over a copy, as closing a connection removes it from the set.
  const auto open_connections = connections_;
  for (const auto& connection : open_connections) {
    connection->Close();
  }
}

}  // namespace bilberryspool::blackhole
