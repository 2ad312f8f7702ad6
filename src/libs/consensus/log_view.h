#ifndef LIBS_CONSENSUS_LOG_VIEW_H_
#define LIBS_CONSENSUS_LOG_VIEW_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "libs/consensus/persistent_state.h"
#include "libs/consensus/replica_event.h"

namespace bilberryspool::consensus {

// In-memory log of one replica: the last compacted position (base), the entries
// after it, the memberships they contain and the index up to which the log is
// synced to disk.
class LogView {
 public:
  LogView(std::shared_ptr<const Snapshot> snapshot,
          std::vector<LogEntry> entries);

  // Index of the oldest entry in memory: the base index + 1.
  LogIndex first_index() const { return base_index_.Next(); }
  LogIndex last_index() const;
  Term last_term() const;
  // nullopt if the entry has been compacted or does not exist yet.
  std::optional<Term> TermAt(LogIndex index) const;
  // Entries from `from` on, up to about `max_bytes`; at least one if any
  // exists.
  std::vector<LogEntry> EntriesFrom(LogIndex from, std::size_t max_bytes) const;
  // All entries in [from, to].
  std::vector<LogEntry> EntriesBetween(LogIndex from, LogIndex to) const;

  // `entry.index` must be last_index() + 1.
  void Append(LogEntry entry);
  void TruncateFrom(LogIndex from);
  // Drops the entries up to `through` from memory.
  void Compact(LogIndex through);
  // Installs a received snapshot. Returns true if the log did not contain the
  // snapshot's last entry and was cleared.
  bool Install(std::shared_ptr<const Snapshot> snapshot);
  // Stores a snapshot of the replica's own state.
  void set_snapshot(std::shared_ptr<const Snapshot> snapshot);
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

  // The active membership: the last one in the log, committed or not.
  const Membership& membership() const;
  LogIndex membership_index() const;
  const Membership& MembershipAt(LogIndex index) const;

  // Records that the current log contents are synced once the write `ticket`
  // is.
  void ExpectDurable(PersistTicket ticket);
  void MarkDurable(PersistTicket ticket);
  // The log is synced to disk up to this index.
  LogIndex durable_index() const { return durable_index_; }

 private:
  struct PendingSync {
    PersistTicket ticket;
    LogIndex last_index;
  };

  std::size_t OffsetOf(LogIndex index) const;

  std::shared_ptr<const Snapshot> snapshot_;
  LogIndex base_index_;
  Term base_term_;
  std::deque<LogEntry> entries_;
  std::map<LogIndex, Membership> memberships_;
  LogIndex durable_index_;
  std::deque<PendingSync> pending_syncs_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_LOG_VIEW_H_
