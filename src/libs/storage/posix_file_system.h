#ifndef LIBS_STORAGE_POSIX_FILE_SYSTEM_H_
#define LIBS_STORAGE_POSIX_FILE_SYSTEM_H_

#include <memory>
#include <string>
#include <vector>

#include "libs/storage/file_system.h"

namespace bilberryspool::storage {

// Implements FileSystem with POSIX system calls.
class PosixFileSystem : public FileSystem {
 public:
  Result<void> MakeFolder(const std::string& path) override;
  Result<std::vector<std::string>> List(const std::string& path) override;
  Result<std::string> Read(const std::string& path) override;
  Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) override;
  Result<void> Truncate(const std::string& path, std::uint64_t size) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;
  Result<void> SyncFolder(const std::string& path) override;
  Result<std::unique_ptr<FolderLock>> Lock(const std::string& path) override;
};

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_POSIX_FILE_SYSTEM_H_
