// Reads the load of an engine.

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

// Polls GET /load every `interval` and reports the load, or nothing if the
// engine did not answer.
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
