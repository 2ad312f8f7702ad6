// Reads the engine beside it: its report, and what its counters have grown by.

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

// Runs in its loop.
class EngineReader {
 public:
  EngineReader(net::NetworkLoop& loop,
               net::Endpoint engine,
               EngineProtocol protocol);

  // Whether this reader is asked, rather than the engine.
  static bool IsAsked(const net::HttpRequest& request);

  // Answers with a groups::RankReading, or 502 where the engine does not answer
  // within the time that the asker allows. Returns why it did not; empty where
  // it did.
  std::string Answer(net::HttpExchange& exchange);

 private:
  // The body of the engine's answer.
  std::optional<std::string> Ask(const net::HttpRequest& request,
                                 Duration patience);

  net::HttpClient client_;
  net::Endpoint engine_;
  EngineProtocol protocol_;
  placement::CounterTracker counters_;
};

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_ENGINE_READER_H_
