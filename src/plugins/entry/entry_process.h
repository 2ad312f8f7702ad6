// The entry process: serves callers and operators on an entry VM. With a data
// folder it also is a control replica.

#ifndef PLUGINS_ENTRY_ENTRY_PROCESS_H_
#define PLUGINS_ENTRY_ENTRY_PROCESS_H_

#include "libs/settings/settings.h"

namespace bilberryspool::entry {

// Runs until a stop signal, then drains; a second signal ends the process at
// once. Returns the exit status: 1 if the entry can't start.
int RunEntry(const settings::CommonSettings& common,
             const settings::EntrySettings& settings);

}  // namespace bilberryspool::entry

#endif  // PLUGINS_ENTRY_ENTRY_PROCESS_H_
