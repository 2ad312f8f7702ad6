#ifndef LIBS_STORAGE_STORAGE_ERROR_H_
#define LIBS_STORAGE_STORAGE_ERROR_H_

#include <string>

namespace bilberryspool::storage {

enum class StorageErrorKind {
  // The operating system reported an error, for example a full disk.
  kIo,
  // Another process holds the lock of the folder.
  kLocked,
  // Synced bytes are damaged or missing. The folder must be replaced and the
  // replica rebuilt from its peers; older data is never used instead.
  kCorrupt,
  // The folder belongs to another deployment or node.
  kWrongOwner,
  // Written by a newer version of the program.
  kNewerFormat,
  // The folder was marked as unusable and must be replaced.
  kUnusable,
  // An earlier write or sync failed: the state on the disk is unknown until the
  // folder is opened again.
  kFailedBefore,
};

struct StorageError {
  StorageErrorKind kind = StorageErrorKind::kIo;
  std::string path;
  std::string detail;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_STORAGE_ERROR_H_
