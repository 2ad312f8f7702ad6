// Calls to engines: by the sidecar beside each, and directly where that is not
// there. Reads from afar are worth avoiding: they describe the engine as it
// was, and a group pauses for some of them.

#ifndef PLUGINS_CONTROL_NODE_ENGINE_CALLS_H_
#define PLUGINS_CONTROL_NODE_ENGINE_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/links/link_client.h"
#include "libs/net/http_client.h"
#include "libs/telemetry/log.h"

namespace bilberryspool::control_node {

// Runs in the control loop. What is known of a sidecar holds for all groups.
class EngineCalls {
 public:
  // An answer of an engine, and how fresh it is.
  struct Answer {
    int status = 0;  // 0: none came
    std::string body;
    TimePoint as_of;
  };

  // Sidecars listen on `sidecar_port` of each engine's VM.
  EngineCalls(net::NetworkLoop& loop,
              links::LinkClient& links,
              std::uint16_t sidecar_port);

  // Whether its sidecar has not failed lately.
  bool IsSidecarUsable(const net::Endpoint& engine, TimePoint now) const;
  // How long an answer may take.
  struct CallTimeouts {
    Duration engine;  // from a caller beside it
    // To its sidecar and back, with what waits here to be sent before.
    Duration transit = Milliseconds(40);
  };

  // Blocks the calling fiber.
  Answer CallEngine(const net::Endpoint& engine,
                    const net::HttpRequest& request,
                    const CallTimeouts& timeouts);
  // The same without asking the engine from afar where its sidecar is not
  // there.
  Answer CallSidecar(const net::Endpoint& engine,
                     const net::HttpRequest& request,
                     const CallTimeouts& timeouts);
  // The same by way of `helper`, another control node; the status is the
  // helper's, see ClassifyRelayStatus().
  Answer CallThroughNode(const net::Endpoint& helper,
                         const net::Endpoint& engine,
                         const net::HttpRequest& request,
                         const CallTimeouts& timeouts);
  // What another control node itself answers.
  Answer CallNode(const net::Endpoint& node,
                  net::HttpRequest request,
                  Duration timeouts);

 private:
  // Nothing where the sidecar refused the connection: nothing was sent.
  std::optional<Answer> TrySidecar(const net::Endpoint& engine,
                                   const net::HttpRequest& request,
                                   const CallTimeouts& timeouts);
  Answer CallDirectly(const net::Endpoint& engine,
                      const net::HttpRequest& request,
                      Duration timeouts);

  net::HttpClient client_;
  links::LinkClient& links_;
  std::uint16_t sidecar_port_;
  telemetry::Logger log_;
  // When a sidecar that failed is tried again, by its VM.
  std::map<std::string, TimePoint> sidecar_cooldown_until_;
  // When a call that a sidecar did not answer was given up, by its VM; until
  // the next answer.
  std::map<std::string, TimePoint> sidecar_failed_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_ENGINE_CALLS_H_
