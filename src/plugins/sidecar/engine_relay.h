// Relays calls to engines for a requester on another VM.

#ifndef PLUGINS_SIDECAR_ENGINE_RELAY_H_
#define PLUGINS_SIDECAR_ENGINE_RELAY_H_

#include <string>

#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::sidecar {

// Runs in the loop that it is constructed with. Its only state are idle
// connections.
class EngineRelay {
 public:
  explicit EngineRelay(net::NetworkLoop& loop);

  // Sends method, target, content type and body to the engine, without the
  // headers that authenticate the link; once more if the requester allows it
  // and the engine does not answer soon. Responds with the engine's status and
  // body, or with 502 if the engine does not answer within the time limit of
  // the requester. Returns the error, or an empty string on success.
  std::string Relay(net::HttpExchange& exchange, const net::Endpoint& engine);

 private:
  net::HttpClient::SendResult Send(const net::Endpoint& engine,
                                   const net::HttpRequest& request,
                                   Duration timeout);
  net::HttpClient::SendResult SendRepeated(const net::Endpoint& engine,
                                           const net::HttpRequest& request,
                                           Duration timeout,
                                           Duration repeat_after);

  net::NetworkLoop& loop_;
  net::HttpClient client_;
};

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_ENGINE_RELAY_H_
