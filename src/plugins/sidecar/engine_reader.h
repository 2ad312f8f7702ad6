// Reads the state of the engine beside the sidecar: its report, and the growth
// of its counters.

#ifndef PLUGINS_SIDECAR_ENGINE_READER_H_
#define PLUGINS_SIDECAR_ENGINE_READER_H_

#include <optional>
#include <string>

#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "libs/placement/counter_tracker.h"
#include "plugins/sidecar/engine_protocol.h"

namespace bilberryspool::sidecar {

// Runs in the loop that it is constructed with.
class EngineReader {
 public:
  EngineReader(net::NetworkLoop& loop,
               net::Endpoint engine,
               EngineProtocol protocol);

  // Whether the request is for this reader rather than for the engine.
  static bool Handles(const net::HttpRequest& request);

  // Responds with a groups::RankReading, or with 502 if the engine does not
  // answer within the time limit of the requester. Returns the error, or an
  // empty string on success.
  std::string Answer(net::HttpExchange& exchange);

 private:
  // Returns the body of the engine's answer.
  std::optional<std::string> CallEngine(const net::HttpRequest& request,
                                        Duration timeout);

  net::HttpClient client_;
  net::Endpoint engine_;
  EngineProtocol protocol_;
  placement::CounterTracker counters_;
};

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_ENGINE_READER_H_
