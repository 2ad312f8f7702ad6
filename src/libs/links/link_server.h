// Server for calls from other processes of the system.

#ifndef LIBS_LINKS_LINK_SERVER_H_
#define LIBS_LINKS_LINK_SERVER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/net/http_server.h"
#include "libs/net/link_authenticator.h"

namespace bilberryspool::rpc {
class Dispatcher;
}

namespace bilberryspool::links {

// Serves JSON-RPC calls and passes all other requests to one handler, after
// verifying the peer's key. Belongs to one NetworkLoop's thread.
class LinkServer {
 public:
  // Maps parameters to a result; may suspend. Returns std::nullopt if the
  // parameters are invalid.
  using Method = std::function<std::optional<boost::json::value>(
      const boost::json::value& params)>;
  using OnRefused = std::function<void(const std::string& peer_address,
                                       net::LinkRefusal refusal)>;

  LinkServer(net::NetworkLoop& loop,
             net::HttpServerOptions options,
             std::shared_ptr<const net::LinkAuthenticator> authenticator,
             net::HttpHandler fallback_handler,
             OnRefused on_refused);
  ~LinkServer();

  // Must be called before Start().
  void Register(const std::string& method, Method handler);

  std::string Start();
  void Drain();
  std::uint16_t port() const;
  net::HttpServerCounts counts() const { return server_->counts(); }

 private:
  void Handle(net::HttpExchange& exchange);

  std::shared_ptr<const net::LinkAuthenticator> authenticator_;
  net::HttpHandler fallback_handler_;
  OnRefused on_refused_;
  std::unique_ptr<rpc::Dispatcher> dispatcher_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace bilberryspool::links

#endif  // LIBS_LINKS_LINK_SERVER_H_
