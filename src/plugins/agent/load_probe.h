// Asks an engine for its load.

#ifndef PLUGINS_AGENT_LOAD_PROBE_H_
#define PLUGINS_AGENT_LOAD_PROBE_H_

#include <functional>
#include <optional>

#include "libs/membership/announcement.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::agent {

// Calls GET /load every `interval` and hands over what was reported. An engine
// that does not answer shows as nothing.
class LoadProbe {
 public:
  using OnLoad =
      std::function<void(const std::optional<membership::LoadReport>&)>;

  LoadProbe(net::NetworkLoop& loop,
            net::Endpoint engine,
            Duration interval,
            OnLoad on_load);

  void Start();

 private:
  std::optional<membership::LoadReport> Poll();

  net::NetworkLoop& loop_;
  net::Endpoint engine_;
  Duration interval_;
  OnLoad on_load_;
  net::HttpClient client_;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_LOAD_PROBE_H_
