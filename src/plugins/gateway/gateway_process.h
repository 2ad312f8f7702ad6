// A gateway: an entry that calls the targets itself and keeps nothing on disk.

#ifndef PLUGINS_GATEWAY_GATEWAY_PROCESS_H_
#define PLUGINS_GATEWAY_GATEWAY_PROCESS_H_

#include <functional>
#include <string>

#include "libs/settings/settings.h"
#include "libs/traffic/wire_dialect.h"

namespace bilberryspool::gateway {

// What callers and operators speak; decided where the program is put together.
struct GatewayInterface {
  traffic::WireDialect header_names;
  traffic::ConfigurationReader read_configuration;
};

// Runs until a stop signal and the drain after it. Returns the exit status: 1
// where it can't start. `settings_path` is read again on a reload signal and
// when the file changes.
int RunGateway(const settings::CommonSettings& common,
               const settings::GatewaySettings& settings,
               const std::string& settings_path,
               const GatewayInterface& interface);

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_GATEWAY_PROCESS_H_
