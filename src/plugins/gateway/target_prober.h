// Asks the sidecars on the VMs of silent targets whether these VMs respond.

#ifndef PLUGINS_GATEWAY_TARGET_PROBER_H_
#define PLUGINS_GATEWAY_TARGET_PROBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "libs/links/link_client.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/metrics.h"
#include "libs/traffic/target_probes.h"

namespace bilberryspool::gateway {

// Used in the gateway's loop only. Until Connect() is called, no probe is sent
// and no target is unresponsive.
class TargetProber {
 public:
  TargetProber(net::NetworkLoop& loop, telemetry::Registry& metrics);

  // `port` is that of the sidecar on the VM of each target.
  void Connect(std::shared_ptr<const net::LinkAuthenticator> authenticator,
               std::uint16_t port);

  // Call when a request is sent to the target; each call must be followed by
  // one OnEnded().
  void OnSent(const TargetId& target,
              const net::Endpoint& endpoint,
              TimePoint now);
  // Call when anything was received from the target.
  void OnBytesReceived(const TargetId& target, TimePoint now);
  void OnEnded(const TargetId& target, TimePoint now);

  // Sends the probes that are due, each in a fiber of its own. Must be called
  // every 100 ms.
  void Tick(TimePoint now);
  bool IsUnresponsive(const TargetId& target, TimePoint now) const {
    return probes_.IsUnresponsive(target, now);
  }

 private:
  void Probe(const traffic::TargetProbes::DueProbe& probe,
             const net::Endpoint& sidecar);
  traffic::ProbeResult Send(const net::Endpoint& sidecar);
  void Log(const TargetId& target, traffic::VmChange change);

  net::NetworkLoop& loop_;
  telemetry::Counter& sent_;
  telemetry::Logger log_;
  // Empty until Connect() is called.
  std::optional<links::LinkClient> client_;
  std::uint16_t port_ = 0;
  traffic::TargetProbes probes_{traffic::TargetProbesOptions{}};
  std::map<TargetId, net::Endpoint> sidecars_;  // of targets with requests
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_TARGET_PROBER_H_
