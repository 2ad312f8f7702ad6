// The disk thread of a control replica.

#ifndef PLUGINS_CONTROL_DISK_WORKER_H_
#define PLUGINS_CONTROL_DISK_WORKER_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "libs/consensus/replica_action.h"
#include "libs/rings/worker.h"
#include "libs/storage/data_folder.h"

namespace bilberryspool::control {

// Jobs of the disk thread, executed in the order in which they were pushed.
using DiskJob = std::variant<consensus::Persist,
                             consensus::PersistSnapshot,
                             consensus::CompactLog>;

// Writes on a separate thread, so that a slow disk does not delay heartbeats.
// One sync covers all jobs that arrived in the meantime.
class DiskWorker {
 public:
  // Both callbacks run on the disk thread.
  using OnSynced = std::function<void(consensus::PersistTicket)>;
  using OnFailed = std::function<void(const std::string& what)>;

  DiskWorker(std::unique_ptr<storage::DataFolder> folder,
             OnSynced on_synced,
             OnFailed on_failed);

  // Called from the control thread. Returns false if the ring is full; `job` is
  // unchanged then.
  bool TryPush(DiskJob&& job) { return worker_.ring().TryPush(std::move(job)); }

  // Writes the jobs that were pushed and ends the thread.
  void Stop() { worker_.Stop(); }
  // Like Stop(), and closes the folder, so that it can be opened again.
  void Close() {
    worker_.Stop();
    folder_.reset();
  }

 private:
  void Handle(const DiskJob& job);
  void SyncBatch();
  void Fail(const std::string& what);

  std::unique_ptr<storage::DataFolder> folder_;
  OnSynced on_synced_;
  OnFailed on_failed_;
  // Ticket of the newest write in the current batch.
  consensus::PersistTicket last_written_;
  bool has_unsynced_ = false;
  // After a failure nothing more is written or reported as synced.
  bool has_failed_ = false;
  // Declared last, so that its thread ends before the members that it uses.
  rings::Worker<DiskJob> worker_;
};

// Error message of the data folder: "kind (path: detail)".
std::string Describe(const storage::StorageError& error);

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_DISK_WORKER_H_
