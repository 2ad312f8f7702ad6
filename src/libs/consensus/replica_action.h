// What a replica asks of the shell, to be carried out in the given order.

#ifndef LIBS_CONSENSUS_REPLICA_ACTION_H_
#define LIBS_CONSENSUS_REPLICA_ACTION_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/consensus/persistent_state.h"
#include "libs/consensus/replica_event.h"

namespace bilberryspool::consensus {

struct Send {
  Message message;
};

// Write and sync, then send Persisted. Writes keep their order; first the log
// is cut from `truncate_from` on, then `entries` follow.
struct Persist {
  PersistTicket ticket;
  std::optional<HardState> hard_state;
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
};

// Write and sync the snapshot, then send Persisted. With `reset_log` the log
// is emptied as well: it does not lead to the snapshot.
struct PersistSnapshot {
  PersistTicket ticket;
  std::shared_ptr<const Snapshot> snapshot;
  bool reset_log = false;
};

// The entries up to `through` are no longer needed: a synced snapshot covers
// them.
struct CompactLog {
  LogIndex through;
};

// Committed entries, in order and each once, of all kinds.
struct Apply {
  std::vector<LogEntry> entries;
};

// Replace the application's state by the snapshot's.
struct RestoreSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
};

// Committed: in the log of each later leader.
struct Accepted {
  LogIndex index;
};
// Not run. The hint is the leader as far as known.
struct NotLeader {
  std::optional<NodeId> hint;
};
// It may or may not become committed: ask again with the same command id.
struct OutcomeUnknown {};
// Not run: too many proposals wait.
struct Busy {};
// Not run.
struct Refused {
  RefusalReason reason;
};

// Answers Propose and ChangeMembership, each once.
struct ProposalOutcome {
  RequestTicket ticket;
  std::variant<Accepted, NotLeader, OutcomeUnknown, Busy, Refused> result;
};

// Answers ReadBarrier: read once this index is applied (it is already).
struct ReadAt {
  LogIndex index;
};
struct ReadOutcome {
  RequestTicket ticket;
  std::variant<ReadAt, NotLeader> result;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader, kHalted };

struct RoleChanged {
  Role role = Role::kFollower;
  Term term;
  std::optional<NodeId> leader;
};

enum class HaltReason {
  // A forced configuration ended this replica's epoch.
  kSuperseded,
  // The folder lacks entries that this identity had acknowledged.
  kRegressed,
};

// The replica takes no further part. Its folder must be put aside; with a new
// one it can be admitted as a replacement.
struct Halted {
  HaltReason reason;
};

using Action = std::variant<Send,
                            Persist,
                            PersistSnapshot,
                            CompactLog,
                            Apply,
                            RestoreSnapshot,
                            ProposalOutcome,
                            ReadOutcome,
                            RoleChanged,
                            Halted>;

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_REPLICA_ACTION_H_
