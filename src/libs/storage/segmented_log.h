#ifndef LIBS_STORAGE_SEGMENTED_LOG_H_
#define LIBS_STORAGE_SEGMENTED_LOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/storage/file_system.h"
#include "libs/storage/log_record.h"

namespace bilberryspool::storage {

// The log records of a data folder, stored in files "log-NUMBER" of limited
// size, so that files covered by a snapshot can be removed. Each file starts
// with the current hard state, so that removing old files never loses it.
class SegmentedLog {
 public:
  // Reads the existing records into `records`, oldest first, and cuts off a
  // torn tail. If there is no log file, one is created if `may_create` is true;
  // otherwise Open() fails.
  static Result<std::unique_ptr<SegmentedLog>> Open(
      FileSystem& files,
      const std::string& folder,
      std::uint64_t segment_bytes,
      bool may_create,
      std::vector<LogRecord>& records);

  // Written, but not yet synced.
  Result<void> Append(const LogRecord& record);
  Result<void> Sync();
  // Removes the files all of whose entries have an index of at most `through`.
  Result<void> RemoveThrough(LogIndex through);

  std::size_t segment_count() const { return segments_.size(); }

 private:
  struct Segment {
    std::uint64_t number = 0;
    LogIndex last_index;
  };

  SegmentedLog(FileSystem& files, std::string folder, std::uint64_t limit);

  Result<void> ReadAll(std::vector<LogRecord>& records);
  Result<void> ReadSegment(std::uint64_t number,
                           bool is_last,
                           std::vector<LogRecord>& records);
  Result<void> StartSegment(std::uint64_t number);
  Result<void> Write(const LogRecord& record);
  void UpdateFromRecord(const LogRecord& record);
  std::string PathOf(std::uint64_t number) const;

  FileSystem& files_;
  std::string folder_;
  std::uint64_t max_segment_bytes_;
  std::vector<Segment> segments_;
  std::unique_ptr<AppendFile> file_;
  std::uint64_t size_ = 0;
  std::uint64_t synced_size_ = 0;
  consensus::HardState hard_state_;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_SEGMENTED_LOG_H_
