// The gateway process: an entry that calls the targets itself and stores
// nothing on disk.

#ifndef PLUGINS_GATEWAY_GATEWAY_PROCESS_H_
#define PLUGINS_GATEWAY_GATEWAY_PROCESS_H_

#include <functional>
#include <string>

#include "libs/settings/settings.h"
#include "libs/traffic/header_names.h"

namespace bilberryspool::gateway {

// The header names towards callers and the format of the configuration. The
// main program supplies them.
struct GatewayInterface {
  traffic::HeaderNames header_names;
  traffic::ConfigurationReader read_configuration;
};

// Runs until a stop signal and the drain that follows it. Returns exit status 1
// if the gateway cannot start. `settings_path` is read again on a reload signal
// and when the file changes.
int RunGateway(const settings::CommonSettings& common,
               const settings::GatewaySettings& settings,
               const std::string& settings_path,
               const GatewayInterface& interface);

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_GATEWAY_PROCESS_H_
