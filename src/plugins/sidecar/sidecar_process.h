// A sidecar: the small process beside an engine through which control nodes
// ask and order it.
//
// From its own VM an engine's reports are fresh and its counts cost the group
// no pause, so the control nodes see a change of demand within a step or two.
// It keeps the counts that it told last, so that it tells what they have grown
// by, and decides nothing; without it control nodes ask the engine from afar.

#ifndef PLUGINS_SIDECAR_SIDECAR_PROCESS_H_
#define PLUGINS_SIDECAR_SIDECAR_PROCESS_H_

#include "libs/settings/settings.h"
#include "plugins/sidecar/engine_protocol.h"

namespace bilberryspool::sidecar {

// Runs until a stop signal. Returns the exit status: 1 where it can't start.
int RunSidecar(const settings::CommonSettings& common,
               const settings::SidecarSettings& settings,
               const EngineProtocol& protocol);

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_SIDECAR_PROCESS_H_
