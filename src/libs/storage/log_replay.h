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
  // False where the record does not follow from the ones before.
  bool Add(const LogRecord& record);
  // Fits the log to the newest snapshot. Sets `must_reset` where a crash came
  // between the snapshot and the record that empties the log. False where
  // entries are missing between the two.
  bool AlignWithSnapshot(const consensus::Snapshot* snapshot, bool& must_reset);

  const consensus::HardState& hard_state() const { return hard_state_; }
  const std::vector<consensus::LogEntry>& entries() const { return entries_; }

 private:
  const consensus::LogEntry* Find(LogIndex index) const;

  consensus::HardState hard_state_;
  std::vector<consensus::LogEntry> entries_;
  // After a reset: the entry that must come next.
  std::optional<LogIndex> expected_;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_LOG_REPLAY_H_
