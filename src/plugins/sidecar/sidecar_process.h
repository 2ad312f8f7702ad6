// A sidecar: the small process beside an engine through which control nodes
// read it and send it orders.
//
// Read from its own VM, an engine's reports are fresh and its counts don't
// pause the group, so the control nodes see a change of demand within one or
// two steps. The sidecar keeps the last counts that it reported, to report
// their growth, and makes no decisions. Without it, control nodes call the
// engine remotely.

#ifndef PLUGINS_SIDECAR_SIDECAR_PROCESS_H_
#define PLUGINS_SIDECAR_SIDECAR_PROCESS_H_

#include "libs/settings/settings.h"
#include "plugins/sidecar/engine_protocol.h"

namespace bilberryspool::sidecar {

// Runs until a stop signal. Returns the exit status, which is 1 if the sidecar
// can't start.
int RunSidecar(const settings::CommonSettings& common,
               const settings::SidecarSettings& settings,
               const EngineProtocol& protocol);

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_SIDECAR_PROCESS_H_
