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

// What the control thread asks the disk thread to do, in order.
using DiskJob = std::variant<consensus::Persist,
                             consensus::PersistSnapshot,
                             consensus::CompactLog>;

// Writes on a thread of its own, so that a slow disk delays no heartbeat, and
// syncs once for all that came in meanwhile.
class DiskWorker {
 public:
  // Both run on the disk thread.
  using OnSynced = std::function<void(consensus::PersistTicket)>;
  using OnFailed = std::function<void(const std::string& what)>;

  DiskWorker(std::unique_ptr<storage::DataFolder> folder,
             OnSynced on_synced,
             OnFailed on_failed);

  // From the control thread. False where the ring is full; `job` is unchanged.
  bool TryPush(DiskJob&& job) { return worker_.ring().TryPush(std::move(job)); }

  // Writes what was taken and ends the thread.
  void Stop() { worker_.Stop(); }
  // Stop(), and lets go of the folder, so that it can be opened again.
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
  // The newest write of the present batch.
  consensus::PersistTicket last_written_;
  bool has_unsynced_ = false;
  // After a failure nothing more is promised from this folder.
  bool has_failed_ = false;
  // Last, so that its thread ends before what it uses.
  rings::Worker<DiskJob> worker_;
};

// "kind path: detail" of what went wrong in the data folder.
std::string Describe(const storage::StorageError& error);

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_DISK_WORKER_H_
