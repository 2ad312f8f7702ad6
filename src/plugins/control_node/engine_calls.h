// Calls to engines: through the sidecar beside each engine, or directly if the
// sidecar is not available. Remote reads are worth avoiding: they return an
// older state of the engine, and some of them pause its group.

#ifndef PLUGINS_CONTROL_NODE_ENGINE_CALLS_H_
#define PLUGINS_CONTROL_NODE_ENGINE_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/links/link_client.h"
#include "libs/net/http_client.h"
#include "libs/telemetry/log.h"
#include "plugins/control_node/coincident_timeouts.h"
#include "plugins/control_node/poll_budget.h"

namespace bilberryspool::control_node {

// Runs in the control loop. The state of a sidecar is shared by all groups.
class EngineCalls {
 public:
  // An engine's answer, and the time of the state that it describes.
  struct Answer {
    int status = 0;  // 0: no answer
    std::string body;
    TimePoint as_of;
  };

  // Sidecars listen on `sidecar_port` of each engine's VM.
  EngineCalls(net::NetworkLoop& loop,
              links::LinkClient& links,
              std::uint16_t sidecar_port);

  // The polls of silent ranks that this node may still send.
  PollBudget& silent_polls() { return silent_polls_; }

  // Whether the engine's sidecar is not in cooldown after a failure.
  bool IsSidecarUsable(const net::Endpoint& engine, TimePoint now) const;
  // Limits of the time that a call may take.
  struct CallTimeouts {
    Duration engine;  // for the engine itself
    // Network time to the sidecar and back, including queueing in this process.
    Duration transit = Milliseconds(40);
    // When the sidecar repeats the call if the engine has not answered; zero:
    // never.
    Duration repeat_after{};
  };

  // Calls the engine through its sidecar or else directly. Blocks the calling
  // fiber.
  Answer CallEngine(const net::Endpoint& engine,
                    const net::HttpRequest& request,
                    const CallTimeouts& timeouts);
  // Like CallEngine(), but does not call the engine directly if its sidecar is
  // not available.
  Answer CallSidecar(const net::Endpoint& engine,
                     const net::HttpRequest& request,
                     const CallTimeouts& timeouts);
  // Whether the engine's VM responds: its sidecar, or else the engine to
  // `request`. Blocks the calling fiber.
  bool IsResponding(const net::Endpoint& engine,
                    const net::HttpRequest& request,
                    const CallTimeouts& timeouts);
  // Like CallEngine(), but relayed by `helper`, another control node. The
  // status is the helper's, see ClassifyRelayStatus().
  Answer CallThroughNode(const net::Endpoint& helper,
                         const net::Endpoint& engine,
                         const net::HttpRequest& request,
                         const CallTimeouts& timeouts);
  // Sends a request that another control node answers itself.
  Answer CallNode(const net::Endpoint& node,
                  net::HttpRequest request,
                  Duration timeout);

 private:
  // Returns nothing if the sidecar refused the connection, so that nothing was
  // sent.
  std::optional<Answer> TrySidecar(const net::Endpoint& engine,
                                   const net::HttpRequest& request,
                                   const CallTimeouts& timeouts);
  Answer CallDirectly(const net::Endpoint& engine,
                      const net::HttpRequest& request,
                      Duration timeout);

  PollBudget silent_polls_;
  CoincidentTimeouts sidecar_timeouts_;
  net::HttpClient client_;
  links::LinkClient& links_;
  std::uint16_t sidecar_port_;
  telemetry::Logger log_;
  // When the cooldown of a failed sidecar ends, by the address of its VM.
  std::map<std::string, TimePoint> sidecar_cooldown_until_;
  // When the first call that a sidecar left unanswered was given up, by the
  // address of its VM; erased by the next answer.
  std::map<std::string, TimePoint> sidecar_failed_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_ENGINE_CALLS_H_
