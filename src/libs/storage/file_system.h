#ifndef LIBS_STORAGE_FILE_SYSTEM_H_
#define LIBS_STORAGE_FILE_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "libs/storage/storage_error.h"

namespace bilberryspool::storage {

template <typename T>
using Result = boost::leaf::result<T>;

// A file open for appending.
class AppendFile {
 public:
  virtual ~AppendFile() = default;

  virtual Result<void> Append(const std::string& bytes) = 0;
  // Returns once the bytes are on the disk.
  virtual Result<void> Sync() = 0;
};

// Holds an exclusive lock for as long as the object exists.
class FolderLock {
 public:
  virtual ~FolderLock() = default;
};

// The file operations that the data folder needs; an interface, so that tests
// can inject faults. Errors carry a StorageError.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  virtual Result<void> MakeFolder(const std::string& path) = 0;
  // Names of the files in the folder, sorted.
  virtual Result<std::vector<std::string>> List(const std::string& path) = 0;
  virtual Result<std::string> Read(const std::string& path) = 0;
  // Creates the file if it is missing.
  virtual Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) = 0;
  // Truncates the file to `size` bytes and syncs it.
  virtual Result<void> Truncate(const std::string& path,
                                std::uint64_t size) = 0;
  virtual Result<void> Rename(const std::string& from,
                              const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  // Makes created, renamed and removed file names of a folder durable.
  virtual Result<void> SyncFolder(const std::string& path) = 0;
  // Fails with kLocked if another process holds the lock.
  virtual Result<std::unique_ptr<FolderLock>> Lock(const std::string& path) = 0;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_FILE_SYSTEM_H_
