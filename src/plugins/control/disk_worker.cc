#include "plugins/control/disk_worker.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include "libs/base/overloaded.h"

namespace bilberryspool::control {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kRingCapacity = 4096;

std::string_view KindName(storage::StorageErrorKind kind) {
  switch (kind) {
    case storage::StorageErrorKind::kIo:
      return "input/output error";
    case storage::StorageErrorKind::kLocked:
      return "another process holds the folder";
    case storage::StorageErrorKind::kCorrupt:
      return "damaged, rebuild this replica from its peers";
    case storage::StorageErrorKind::kWrongOwner:
      return "the folder is another node's";
    case storage::StorageErrorKind::kNewerFormat:
      return "written by a newer program";
    case storage::StorageErrorKind::kUnusable:
      return "marked as unusable, put it aside";
    case storage::StorageErrorKind::kFailedBefore:
      return "an earlier write failed";
  }
  return "unknown error";
}

}  // namespace

std::string Describe(const storage::StorageError& error) {
  std::string text(KindName(error.kind));
  text += " (" + error.path;
  if (!error.detail.empty()) {
    text += ": " + error.detail;
  }
  return text + ")";
}

DiskWorker::DiskWorker(std::unique_ptr<storage::DataFolder> folder,
                       OnSynced on_synced,
                       OnFailed on_failed)
    : folder_(std::move(folder)),
      on_synced_(std::move(on_synced)),
      on_failed_(std::move(on_failed)),
      worker_(
          {"disk", kRingCapacity, 1},
          [this](DiskJob&& job) { Handle(job); },
          [this] { SyncBatch(); }) {}

void DiskWorker::Handle(const DiskJob& job) {
  if (has_failed_) {
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return std::visit(
            [this](const auto& write) { return folder_->Write(write); }, job);
      },
      [this](const storage::StorageError& error) { Fail(Describe(error)); },
      [this] { Fail("unknown error"); });
  if (has_failed_) {
    return;
  }
  std::visit(Overloaded{[this](const consensus::Persist& persist) {
                          last_written_ = persist.ticket;
                          has_unsynced_ = true;
                        },
                        [this](const consensus::PersistSnapshot& persist) {
                          last_written_ = persist.ticket;
                          has_unsynced_ = true;
                        },
                        [](const consensus::CompactLog&) {}},
             job);
}

void DiskWorker::SyncBatch() {
  if (has_failed_ || !has_unsynced_) {
    return;
  }
  has_unsynced_ = false;
  leaf::try_handle_all(
      [this]() -> leaf::result<void> { return folder_->Sync(); },
      [this](const storage::StorageError& error) { Fail(Describe(error)); },
      [this] { Fail("unknown error"); });
  if (!has_failed_) {
    on_synced_(last_written_);
  }
}

void DiskWorker::Fail(const std::string& what) {
  has_failed_ = true;
  on_failed_(what);
}

}  // namespace bilberryspool::control
