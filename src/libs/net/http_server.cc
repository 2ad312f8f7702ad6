#include "libs/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <set>

#include "libs/net/connection_registry.h"
#include "libs/net/internal/await.h"
#include "libs/net/internal/server_connection.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::net {

using boost::asio::ip::tcp;
using internal::ServerConnection;
using internal::ServerState;

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private> {
  Private(NetworkLoop& network_loop, HttpServerOptions options)
      : loop(network_loop),
        acceptor(network_loop.io()),
        state(std::make_shared<ServerState>()) {
    state->options = std::move(options);
    if (state->options.registry == nullptr) {
      state->options.registry =
          std::make_shared<ConnectionRegistry>(ConnectionBudgetOptions{});
    }
  }

  void AcceptLoop();
  void AddConnection(tcp::socket socket);

  NetworkLoop& loop;
  tcp::acceptor acceptor;
  std::shared_ptr<ServerState> state;
  std::set<std::shared_ptr<ServerConnection>> connections;
};

HttpServer::HttpServer(NetworkLoop& loop,
                       HttpServerOptions options,
                       HttpHandler handler)
    : d_(std::make_shared<Private>(loop, std::move(options))) {
  d_->state->handler = std::move(handler);
}

HttpServer::~HttpServer() {
  Drain();
}

std::string HttpServer::Start() {
  const Endpoint& listen = d_->state->options.listen;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(listen.address, error);
  if (error) {
    return "not an IP address: " + listen.address;
  }
  const tcp::endpoint endpoint(address, listen.port);
  d_->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    d_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    d_->acceptor.bind(endpoint, error);
  }
  if (!error) {
    d_->acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return "can't listen on " + listen.ToString() + ": " + error.message();
  }
  d_->loop.Spawn([self = d_] { self->AcceptLoop(); });
  return "";
}

void HttpServer::Private::AcceptLoop() {
  while (!state->is_draining) {
    tcp::socket socket(loop.io());
    const internal::IoOutcome outcome = internal::Await(
        [&](auto handler) { acceptor.async_accept(socket, handler); });
    if (outcome.error == boost::asio::error::operation_aborted) {
      return;
    }
    if (outcome.error) {
      const bool is_out_of_descriptors =
          outcome.error == boost::asio::error::no_descriptors;
      if (is_out_of_descriptors) {
        state->options.registry->ReserveDescriptors(SteadyNow());
      }
      // Pause to avoid a busy loop; evicted connections close meanwhile.
      constexpr Duration kPause = Milliseconds(50);
      loop.SleepFor(kPause);
      continue;
    }
    AddConnection(std::move(socket));
  }
}

void HttpServer::Private::AddConnection(tcp::socket socket) {
  ++state->counts.accepted;
  auto connection =
      std::make_shared<ServerConnection>(std::move(socket), state);
  connections.insert(connection);
  state->counts.open_connections = connections.size();
  loop.Spawn([self = shared_from_this(), connection] {
    connection->Serve();
    self->connections.erase(connection);
    self->state->counts.open_connections = self->connections.size();
  });
}

std::uint16_t HttpServer::port() const {
  boost::system::error_code ignored;
  return d_->acceptor.local_endpoint(ignored).port();
}

void HttpServer::CloseAfterAnswers() {
  d_->state->closes_after_answers = true;
}

void HttpServer::SetIdleTimeout(Duration timeout) {
  d_->state->options.idle_timeout = timeout;
}

void HttpServer::SetRequestLimits(std::size_t max_header_bytes,
                                  std::size_t max_body_bytes,
                                  Duration header_timeout) {
  d_->state->options.header_timeout = header_timeout;
  d_->state->options.max_header_bytes = max_header_bytes;
  d_->state->options.max_body_bytes = max_body_bytes;
}

void HttpServer::Drain() {
  d_->state->is_draining = true;
  d_->state->closes_after_answers = true;
  boost::system::error_code ignored;
  d_->acceptor.close(ignored);
  for (const auto& connection : d_->connections) {
    connection->CloseIfIdle();
  }
}

HttpServerCounts HttpServer::counts() const {
  return d_->state->counts;
}

}  // namespace bilberryspool::net
