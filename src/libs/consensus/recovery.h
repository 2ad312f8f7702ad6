#ifndef LIBS_CONSENSUS_RECOVERY_H_
#define LIBS_CONSENSUS_RECOVERY_H_

#include <string>
#include <variant>

#include "libs/consensus/persistent_state.h"

namespace bilberryspool::consensus {

// State to write and sync atomically before the replica is started on its
// folder again.
struct ForcedConfiguration {
  HardState hard_state;
  LogEntry entry;
};

enum class ForceRefusal {
  // The folder is new: there is no state to recover from.
  kBlankFolder,
  // The confirmation does not name this node and the next epoch.
  kNotConfirmed,
};

// The text that the operator must enter: "NODE recovery epoch N".
std::string RequiredConfirmation(const RecoveredState& state);

// Recovers from the loss of a majority of the folders: makes the replica on
// this folder the only voter, in the next recovery epoch.
//
// Every accepted entry that this folder does not contain is lost. Entries that
// it contains become accepted even if they were not. Replicas of the earlier
// epoch halt as soon as they receive a message from this one and can't return
// as voters; until then they may still make progress among themselves, so they
// must be stopped first. The program never does this by itself, and it requires
// the confirmation to prevent accidental use.
std::variant<ForcedConfiguration, ForceRefusal> ForceNewConfiguration(
    const RecoveredState& state,
    const std::string& confirmation);

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_RECOVERY_H_
