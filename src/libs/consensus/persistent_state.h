// State that a replica stores in its data folder.

#ifndef LIBS_CONSENSUS_PERSISTENT_STATE_H_
#define LIBS_CONSENSUS_PERSISTENT_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/consensus/log_entry.h"

namespace bilberryspool::consensus {

// Must be synced to disk before a message that depends on it is sent: a replica
// that lost its vote in a crash could vote twice in one term.
struct HardState {
  ClusterId cluster;
  RecoveryEpoch epoch;
  Term term;
  std::optional<MemberId> vote;

  bool operator==(const HardState&) const = default;
};

// The application's state after the entry `index`, with the term and membership
// that the log needs to continue from there.
struct Snapshot {
  LogIndex index;
  Term term;
  Membership membership;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

// State read from the data folder at process start. If everything but `self` is
// empty, the folder is new.
struct RecoveredState {
  MemberId self;
  HardState hard_state;
  // Null if there is no snapshot.
  std::shared_ptr<const Snapshot> snapshot;
  // Entries after the snapshot, without a gap.
  std::vector<LogEntry> entries;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_PERSISTENT_STATE_H_
