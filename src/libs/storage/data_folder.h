// The data folder of a control replica: its identity, its log and its
// snapshots.
//
// A write is durable only after a sync. An incomplete record at the end of the
// log, left by a crash, is cut off when the folder is opened. Damage to synced
// bytes is reported as an error and older data is never used instead: a replica
// that lost a vote or an accepted entry could break the safety of the whole
// cluster. After the first failed write or sync nothing more is written until
// the folder is opened again, since the state on the disk is unknown.
//
// Files: "lock"; "identity" (format, deployment, node, identity); "log-NUMBER"
// (see segmented_log.h); "snapshot-INDEX"; "unusable" once the replica was
// halted.

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
  // Identity for a new folder: random, never 0.
  consensus::ReplicaIdentity new_identity;
  // Size in bytes from which on the log continues in a new file.
  std::uint64_t segment_bytes = 4ULL * 1024 * 1024;
};

class DataFolder {
 public:
  // Opens the folder and locks it; creates the folder if it is missing.
  static Result<std::unique_ptr<DataFolder>> Open(FileSystem& files,
                                                  DataFolderOptions options);

  // The state found when the folder was opened.
  const consensus::RecoveredState& recovered() const { return recovered_; }

  // Writes without a sync, so that several writes can share one Sync(). Send
  // the Persisted event only after Sync() has returned.
  Result<void> Write(const consensus::Persist& persist);
  Result<void> Sync();
  // Synced on return. Removes the previous snapshot afterwards.
  Result<void> Write(const consensus::PersistSnapshot& persist);
  Result<void> Write(const consensus::CompactLog& compact);
  // Synced on return. Reopen the folder before using it further.
  Result<void> Write(const consensus::ForcedConfiguration& forced);
  // Marks the folder of a halted replica, so that Open() refuses it.
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
  // Passes `result` on; after a failure no further write is allowed.
  Result<void> RecordFailure(Result<void> result);
  Result<void> CheckUsable() const;
  std::string PathOf(const std::string& name) const;

  FileSystem& files_;
  DataFolderOptions options_;
  std::unique_ptr<FolderLock> lock_;
  std::unique_ptr<SegmentedLog> log_;
  consensus::RecoveredState recovered_;
  // No identity file was found, so no vote or entry can depend on this folder.
  bool is_new_ = false;
  LogIndex snapshot_index_;
  bool failed_ = false;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_DATA_FOLDER_H_
