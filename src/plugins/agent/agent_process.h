// The agent process: the only process of the system on the VM of a target, in
// front of its engine or plain service.

#ifndef PLUGINS_AGENT_AGENT_PROCESS_H_
#define PLUGINS_AGENT_AGENT_PROCESS_H_

#include "libs/settings/settings.h"

namespace bilberryspool::agent {

// Runs until a stop signal and the drain that follows it, or until a second
// stop signal. Returns exit status 1 if the agent cannot start.
int RunAgent(const settings::CommonSettings& common,
             const settings::AgentSettings& settings);

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_AGENT_PROCESS_H_
