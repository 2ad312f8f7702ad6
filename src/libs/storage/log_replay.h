#ifndef LIBS_STORAGE_LOG_REPLAY_H_
#define LIBS_STORAGE_LOG_REPLAY_H_

#include <memory>
#include <optional>
#include <vector>

#include "libs/storage/log_record.h"

namespace bilberryspool::storage {

// Rebuilds the log and the hard state from the records, oldest first.
class LogReplay {
 public:
  // Returns false if the record is not consistent with the previous ones.
  bool Add(const LogRecord& record);
  // Drops the entries that the newest snapshot covers. Sets `must_reset` if the
  // log does not connect to the snapshot because a crash happened between
  // writing the snapshot and the record that empties the log. Returns false if
  // entries are missing between the two.
  bool AlignWithSnapshot(const consensus::Snapshot* snapshot, bool& must_reset);

  const consensus::HardState& hard_state() const { return hard_state_; }
  const std::vector<consensus::LogEntry>& entries() const { return entries_; }

 private:
  const consensus::LogEntry* Find(LogIndex index) const;

  consensus::HardState hard_state_;
  std::vector<consensus::LogEntry> entries_;
  // Index that the next entry must have after a reset or a truncation.
  std::optional<LogIndex> expected_;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_LOG_REPLAY_H_
