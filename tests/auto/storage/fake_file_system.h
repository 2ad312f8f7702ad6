// An in-memory file system that loses unsynced data in a crash.

#ifndef AUTO_STORAGE_FAKE_FILE_SYSTEM_H_
#define AUTO_STORAGE_FAKE_FILE_SYSTEM_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/storage/file_system.h"

namespace bilberryspool::storage {

class FakeFileSystem : public FileSystem {
 public:
  struct Inode {
    std::string bytes;
    std::size_t synced_size = 0;
  };

  explicit FakeFileSystem(std::uint64_t seed) : random_(seed) {}

  // Number of further modifying calls that succeed; later ones fail. The first
  // failing call may have written a part.
  void set_calls_left(std::optional<std::uint64_t> calls) {
    calls_left_ = calls;
  }
  std::uint64_t call_count() const { return call_count_; }
  // Drops unsynced data except for a random part of it, and may garble a byte
  // of the part that is kept.
  void Crash();
  // The bytes of a file, so that a test can damage them.
  std::string& bytes(const std::string& path) { return names_[path]->bytes; }
  std::vector<std::string> paths() const;

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

 private:
  friend class FakeAppendFile;
  using Names = std::map<std::string, std::shared_ptr<Inode>>;

  Result<void> ConsumeCall();

  Random random_;
  Names names_;
  Names synced_names_;
  std::optional<std::uint64_t> calls_left_;
  std::uint64_t call_count_ = 0;
  std::weak_ptr<int> lock_;
};

}  // namespace bilberryspool::storage

#endif  // AUTO_STORAGE_FAKE_FILE_SYSTEM_H_
