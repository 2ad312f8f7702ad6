// Passes calls on to engines, for an asker on another VM.

#ifndef PLUGINS_SIDECAR_ENGINE_RELAY_H_
#define PLUGINS_SIDECAR_ENGINE_RELAY_H_

#include <string>

#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::sidecar {

// Runs in its loop. Keeps nothing but idle connections.
class EngineRelay {
 public:
  explicit EngineRelay(net::NetworkLoop& loop);

  // The engine gets method, target, type and body, and none of the fields that
  // sign the link; the asker gets its status and body, or 502 where it does not
  // answer within the time that the asker allows. Returns why it did not;
  // empty where it did.
  std::string Relay(net::HttpExchange& exchange, const net::Endpoint& engine);

 private:
  net::HttpClient client_;
};

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_ENGINE_RELAY_H_
