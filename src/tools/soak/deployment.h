// The processes of a small deployment on loopback: gateways, and control nodes
// that other processes reach through a relay for each of them.

#ifndef TOOLS_SOAK_DEPLOYMENT_H_
#define TOOLS_SOAK_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/net/endpoint.h"
#include "libs/net/network_loop.h"
#include "processes/soak/process_table.h"
#include "tools/blackhole/relay.h"

namespace bilberryspool::soak {

struct DeploymentOptions {
  std::string binary;  // path of the program
  std::string folder;  // for settings, logs and data
  // The first of 100 ports that are free on all loopback addresses.
  std::uint16_t first_port = 0;
  std::uint32_t controls = 3;
  std::uint32_t gateways = 2;
};

class Deployment {
 public:
  Deployment(net::NetworkLoop& loop, DeploymentOptions options);

  // Writes the settings and starts all processes. Returns an error message,
  // empty on success.
  std::string Start();

  std::string StartControl(std::uint32_t number);
  std::string StartGateway(std::uint32_t number);
  // Deletes the data folder of a control node that is not running. Its next
  // start joins the running deployment.
  void WipeControl(std::uint32_t number);
  ProcessTable& processes() { return processes_; }
  blackhole::Relay& relay(std::uint32_t control) { return *relays_[control]; }

  net::Endpoint operators(std::uint32_t control) const;
  net::Endpoint callers(std::uint32_t gateway) const;
  net::Endpoint readiness(std::uint32_t gateway) const;
  static std::string ControlName(std::uint32_t number);
  static std::string GatewayName(std::uint32_t number);

 private:
  std::string Seeds() const;
  std::string WriteControl(std::uint32_t number, bool is_first_start) const;
  std::string WriteGateway(std::uint32_t number) const;
  std::string PathOf(const std::string& file) const;
  std::uint16_t Port(std::uint32_t offset) const;
  std::string StartRole(const std::string& role, const std::string& name);

  DeploymentOptions options_;
  ProcessTable processes_;
  std::vector<std::unique_ptr<blackhole::Relay>> relays_;
  net::NetworkLoop& loop_;
};

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_DEPLOYMENT_H_
