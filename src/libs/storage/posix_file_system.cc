#include "libs/storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include <boost/leaf/error.hpp>

namespace bilberryspool::storage {
namespace {

constexpr mode_t kFileMode = 0600;

boost::leaf::error_id IoError(const std::string& path, int code) {
  const auto kind =
      code == EWOULDBLOCK ? StorageErrorKind::kLocked : StorageErrorKind::kIo;
  return boost::leaf::new_error(
      StorageError{kind, path, std::generic_category().message(code)});
}

// Owns a file descriptor and closes it.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor& operator=(Descriptor&&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }

  int fd() const { return fd_; }

 private:
  int fd_;
};

Result<Descriptor> Open(const std::string& path, int flags) {
  const int fd = open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return IoError(path, errno);
  }
  return Descriptor(fd);
}

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(std::string path, Descriptor descriptor)
      : path_(std::move(path)), descriptor_(std::move(descriptor)) {}

  Result<void> Append(const std::string& bytes) override {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t written =
          write(descriptor_.fd(), bytes.data() + done, bytes.size() - done);
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return IoError(path_, errno);
      }
      done += static_cast<std::size_t>(written);
    }
    return {};
  }

  Result<void> Sync() override {
    if (fsync(descriptor_.fd()) != 0) {
      return IoError(path_, errno);
    }
    return {};
  }

 private:
  std::string path_;
  Descriptor descriptor_;
};

class PosixLock : public FolderLock {
 public:
  explicit PosixLock(Descriptor descriptor)
      : descriptor_(std::move(descriptor)) {}

 private:
  Descriptor descriptor_;
};

}  // namespace

Result<void> PosixFileSystem::MakeFolder(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  if (error) {
    return IoError(path, error.value());
  }
  return {};
}

Result<std::vector<std::string>> PosixFileSystem::List(
    const std::string& path) {
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator it(path, error);
  while (!error && it != std::filesystem::directory_iterator()) {
    names.push_back(it->path().filename().string());
    it.increment(error);
  }
  if (error) {
    return IoError(path, error.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::string> PosixFileSystem::Read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  if (!file) {
    return IoError(path, EIO);
  }
  return bytes.str();
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::OpenAppend(
    const std::string& path) {
  BOOST_LEAF_AUTO(descriptor, Open(path, O_WRONLY | O_APPEND | O_CREAT));
  return std::unique_ptr<AppendFile>(
      std::make_unique<PosixAppendFile>(path, std::move(descriptor)));
}

Result<void> PosixFileSystem::Truncate(const std::string& path,
                                       std::uint64_t size) {
  BOOST_LEAF_AUTO(descriptor, Open(path, O_WRONLY));
  if (ftruncate(descriptor.fd(), static_cast<off_t>(size)) != 0 ||
      fsync(descriptor.fd()) != 0) {
    return IoError(path, errno);
  }
  return {};
}

Result<void> PosixFileSystem::Rename(const std::string& from,
                                     const std::string& to) {
  if (rename(from.c_str(), to.c_str()) != 0) {
    return IoError(from, errno);
  }
  return {};
}

Result<void> PosixFileSystem::Remove(const std::string& path) {
  if (unlink(path.c_str()) != 0) {
    return IoError(path, errno);
  }
  return {};
}

Result<void> PosixFileSystem::SyncFolder(const std::string& path) {
  BOOST_LEAF_AUTO(descriptor, Open(path, O_RDONLY | O_DIRECTORY));
  if (fsync(descriptor.fd()) != 0) {
    return IoError(path, errno);
  }
  return {};
}

Result<std::unique_ptr<FolderLock>> PosixFileSystem::Lock(
    const std::string& path) {
  BOOST_LEAF_AUTO(descriptor, Open(path, O_RDWR | O_CREAT));
  if (flock(descriptor.fd(), LOCK_EX | LOCK_NB) != 0) {
    return IoError(path, errno);
  }
  return std::unique_ptr<FolderLock>(
      std::make_unique<PosixLock>(std::move(descriptor)));
}

}  // namespace bilberryspool::storage
