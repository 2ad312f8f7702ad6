#include "auto/storage/fake_file_system.h"

#include <utility>

#include <boost/leaf/error.hpp>

namespace bilberryspool::storage {
namespace {

class FakeLock : public FolderLock {
 public:
  explicit FakeLock(std::shared_ptr<int> held) : held_(std::move(held)) {}

 private:
  std::shared_ptr<int> held_;
};

boost::leaf::error_id Fail(StorageErrorKind kind, const std::string& path) {
  return boost::leaf::new_error(StorageError{kind, path, "injected"});
}

}  // namespace

class FakeAppendFile : public AppendFile {
 public:
  FakeAppendFile(FakeFileSystem& files,
                 std::shared_ptr<FakeFileSystem::Inode> inode)
      : files_(files), inode_(std::move(inode)) {}

  Result<void> Append(const std::string& bytes) override {
    Result<void> counted = files_.ConsumeCall();
    const std::size_t size =
        counted ? bytes.size() : files_.random_.Below(bytes.size());
    inode_->bytes += bytes.substr(0, size);
    return counted;
  }

  Result<void> Sync() override {
    BOOST_LEAF_CHECK(files_.ConsumeCall());
    inode_->synced_size = inode_->bytes.size();
    return {};
  }

 private:
  FakeFileSystem& files_;
  std::shared_ptr<FakeFileSystem::Inode> inode_;
};

Result<void> FakeFileSystem::ConsumeCall() {
  ++call_count_;
  if (!calls_left_) {
    return {};
  }
  if (*calls_left_ == 0) {
    return Fail(StorageErrorKind::kIo, "");
  }
  --*calls_left_;
  return {};
}

void FakeFileSystem::Crash() {
  // Name changes become durable in order, so either all of them or none
  // survive.
  if (random_.Chance(0.5)) {
    names_ = synced_names_;
  }
  for (auto& [path, inode] : names_) {
    const std::size_t unsynced = inode->bytes.size() - inode->synced_size;
    const std::size_t kept = random_.Below(unsynced + 1);
    inode->bytes.resize(inode->synced_size + kept);
    if (kept > 0 && random_.Chance(0.5)) {
      inode->bytes[inode->synced_size + random_.Below(kept)] ^= 0x11;
    }
    inode->synced_size = inode->bytes.size();
  }
  synced_names_ = names_;
  calls_left_.reset();
}

std::vector<std::string> FakeFileSystem::paths() const {
  std::vector<std::string> found;
  for (const auto& [path, inode] : names_) {
    found.push_back(path);
  }
  return found;
}

Result<void> FakeFileSystem::MakeFolder(const std::string& /*path*/) {
  return {};
}

Result<std::vector<std::string>> FakeFileSystem::List(const std::string& path) {
  std::vector<std::string> found;
  for (const auto& [name, inode] : names_) {
    found.push_back(name.substr(path.size() + 1));
  }
  return found;
}

Result<std::string> FakeFileSystem::Read(const std::string& path) {
  const auto found = names_.find(path);
  if (found == names_.end()) {
    return Fail(StorageErrorKind::kIo, path);
  }
  return found->second->bytes;
}

Result<std::unique_ptr<AppendFile>> FakeFileSystem::OpenAppend(
    const std::string& path) {
  BOOST_LEAF_CHECK(ConsumeCall());
  auto& inode = names_[path];
  if (inode == nullptr) {
    inode = std::make_shared<Inode>();
  }
  return std::unique_ptr<AppendFile>(
      std::make_unique<FakeAppendFile>(*this, inode));
}

Result<void> FakeFileSystem::Truncate(const std::string& path,
                                      std::uint64_t size) {
  BOOST_LEAF_CHECK(ConsumeCall());
  names_[path]->bytes.resize(size);
  names_[path]->synced_size = size;
  return {};
}

Result<void> FakeFileSystem::Rename(const std::string& from,
                                    const std::string& to) {
  BOOST_LEAF_CHECK(ConsumeCall());
  names_[to] = names_[from];
  names_.erase(from);
  return {};
}

Result<void> FakeFileSystem::Remove(const std::string& path) {
  BOOST_LEAF_CHECK(ConsumeCall());
  names_.erase(path);
  return {};
}

Result<void> FakeFileSystem::SyncFolder(const std::string& /*path*/) {
  BOOST_LEAF_CHECK(ConsumeCall());
  synced_names_ = names_;
  return {};
}

Result<std::unique_ptr<FolderLock>> FakeFileSystem::Lock(
    const std::string& path) {
  if (!lock_.expired()) {
    return Fail(StorageErrorKind::kLocked, path);
  }
  auto held = std::make_shared<int>(0);
  lock_ = held;
  return std::unique_ptr<FolderLock>(
      std::make_unique<FakeLock>(std::move(held)));
}

}  // namespace bilberryspool::storage
