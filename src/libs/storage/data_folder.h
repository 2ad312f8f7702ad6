// The data folder of a control replica: its identity, its log and its
// snapshots.
//
// Guards against what disks and crashes do: a write counts only once it is
// synced; a torn tail is cut at the start; damage to synced bytes is reported
// and never papered over with older data, since a replica that forgot what it
// promised would break the promises of the whole cluster. After the first
// failed write or sync nothing more is written until the folder is opened
// again.
//
// Files: "lock"; "identity" (format, deployment, node, identity);
// "log-NUMBER" (see segmented_log.h); "snapshot-INDEX"; "unusable" once the
// replica was halted.

#ifndef LIBS_STORAGE_DATA_FOLDER_H_
#define LIBS_STORAGE_DATA_FOLDER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libs/consensus/recovery.h"
#include "libs/consensus/replica_action.h"
#include "libs/storage/file_system.h"
#include "libs/storage/segmented_log.h"

namespace bilberryspool::storage {

struct DataFolderOptions {
  std::string path;
  // Name of the deployment and of this node, from the settings.
  std::string deployment;
  NodeId node;
  // Taken as the identity where the folder is new; random, not 0.
  consensus::ReplicaIdentity new_identity;
  // A log file that has grown to this size is followed by a new one.
  std::uint64_t segment_bytes = 4ULL * 1024 * 1024;
};

class DataFolder {
 public:
  // Takes the lock; makes the folder where it is missing.
  static Result<std::unique_ptr<DataFolder>> Open(FileSystem& files,
                                                  DataFolderOptions options);

  // What the folder held when it was opened.
  const consensus::RecoveredState& recovered() const { return recovered_; }

  // Written, but not synced: several writes can share one Sync. Report
  // Persisted only after Sync has returned.
  Result<void> Write(const consensus::Persist& persist);
  Result<void> Sync();
  // Synced when it returns. The snapshot before is removed only then.
  Result<void> Write(const consensus::PersistSnapshot& persist);
  Result<void> Write(const consensus::CompactLog& compact);
  // Synced when it returns. Open the folder again before it is used.
  Result<void> Write(const consensus::ForcedConfiguration& forced);
  // Keeps the folder from being used again; for a replica that halted.
  Result<void> MarkUnusable(const std::string& why);

  std::size_t segment_count() const { return log_->segment_count(); }

 private:
  DataFolder(FileSystem& files, DataFolderOptions options);

  Result<void> Load();
  Result<void> LoadIdentity();
  Result<void> MakeIdentity();
  Result<void> LoadSnapshot(const std::vector<std::string>& names);
  Result<void> LoadLog();
  Result<void> WriteFileAtomically(const std::string& name,
                                   const std::string& payload);
  Result<std::string> ReadCheckedFile(const std::string& name);
  Result<void> StoreSnapshot(const consensus::Snapshot& snapshot);
  Result<void> AppendAndSync(const LogRecord& record);
  // Lets nothing more be written after the first failure.
  Result<void> RecordFailure(Result<void> result);
  Result<void> CheckUsable() const;
  std::string PathOf(const std::string& name) const;

  FileSystem& files_;
  DataFolderOptions options_;
  std::unique_ptr<FolderLock> lock_;
  std::unique_ptr<SegmentedLog> log_;
  consensus::RecoveredState recovered_;
  // No identity was there: nothing was ever promised from this folder.
  bool is_new_ = false;
  LogIndex snapshot_index_;
  bool failed_ = false;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_DATA_FOLDER_H_
