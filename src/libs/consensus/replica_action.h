// Actions that a replica requests from its host, to be executed in order.

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

// Write and sync, then send Persisted. Writes keep their order. First the log
// is truncated from `truncate_from` on, then `entries` are appended.
struct Persist {
  PersistTicket ticket;
  std::optional<HardState> hard_state;
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
};

// Write and sync the snapshot, then send Persisted. With `reset_log` the log is
// cleared as well, because it does not contain the snapshot's last entry.
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

// Committed entries of all kinds, in order and each exactly once.
struct Apply {
  std::vector<LogEntry> entries;
};

// Replace the application's state by the snapshot's.
struct RestoreSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
};

// The entry is committed: it is in the log of every later leader.
struct Accepted {
  LogIndex index;
};
// Not executed. The hint is the leader, if known.
struct NotLeader {
  std::optional<NodeId> hint;
};
// Leadership ended before the entry was committed. It may still become
// committed: retry with the same command id.
struct OutcomeUnknown {};
// Not executed: too many proposals are pending.
struct Busy {};
// Not executed.
struct Refused {
  RefusalReason reason;
};

// Result of Propose or ChangeMembership, exactly one for each.
struct ProposalOutcome {
  RequestTicket ticket;
  std::variant<Accepted, NotLeader, OutcomeUnknown, Busy, Refused> result;
};

// The read index: the reader must have applied it; this replica already has.
struct ReadAt {
  LogIndex index;
};
// Result of ReadBarrier.
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

// The replica stops participating. Its folder must be moved away; with a new
// folder it can be admitted as a replacement.
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
