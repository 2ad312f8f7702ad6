#ifndef LIBS_CONFIG_SNAPSHOT_H_
#define LIBS_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/config/state_machine.h"

namespace bilberryspool::config {

// Must be incremented when an older program could misread the snapshots that
// this program writes. A program reads its own format and all older ones, and
// rejects newer ones.
inline constexpr std::uint64_t kSnapshotFormat = 1;

// Serializes the whole state, including the outcomes of recorded commands.
std::string WriteSnapshot(const StateMachineState& state);

// None if the bytes are damaged or have a newer format.
std::optional<StateMachineState> ReadSnapshot(std::string_view bytes);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_SNAPSHOT_H_
