// Tests the data folder under crashes, damaged files and failing writes.

#include "libs/storage/data_folder.h"

#include <cstdlib>
#include <filesystem>
#include <functional>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "auto/storage/fake_file_system.h"
#include "libs/storage/posix_file_system.h"
#include "libs/storage/record_frame.h"

namespace bilberryspool::storage {
namespace {

using consensus::Command;
using consensus::HardState;
using consensus::LogEntry;
using consensus::Persist;
using consensus::PersistSnapshot;
using consensus::PersistTicket;
using consensus::RecoveredState;
using consensus::Snapshot;

std::optional<StorageErrorKind> ErrorOf(
    const std::function<Result<void>()>& call) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<StorageErrorKind>> {
        BOOST_LEAF_CHECK(call());
        return std::optional<StorageErrorKind>();
      },
      [](const StorageError& error) {
        return std::optional<StorageErrorKind>(error.kind);
      },
      [] { return std::optional<StorageErrorKind>(StorageErrorKind::kIo); });
}

DataFolderOptions Options(std::uint64_t identity = 7) {
  return {"folder", "qasr", NodeId("sahab-1"),
          consensus::ReplicaIdentity(identity), 600};
}

std::unique_ptr<DataFolder> OpenFolder(FileSystem& files,
                                       DataFolderOptions options = Options()) {
  std::unique_ptr<DataFolder> folder;
  ErrorOf([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(folder, DataFolder::Open(files, std::move(options)));
    return {};
  });
  return folder;
}

std::optional<StorageErrorKind> OpenError(
    FileSystem& files,
    DataFolderOptions options = Options()) {
  return ErrorOf([&]() -> Result<void> {
    BOOST_LEAF_CHECK(DataFolder::Open(files, options));
    return {};
  });
}

LogEntry Entry(std::uint64_t index, std::uint64_t term) {
  return {LogIndex(index), Term(term),
          Command{"entry " + std::to_string(index) + std::string(40, 'x')}};
}

// Performs random writes like a replica and records the state that the folder
// must hold after each of them.
class Writer {
 public:
  explicit Writer(std::uint64_t seed) : random_(seed) {
    states_.push_back({});
    states_.back().hard_state.cluster = ClusterIdOne();
  }

  static consensus::ClusterId ClusterIdOne() { return consensus::ClusterId(1); }

  // The expected states, by the number of the write.
  const std::vector<RecoveredState>& states() const { return states_; }
  std::size_t synced() const { return synced_; }

  // Continues from the state that was recovered after a crash.
  void Restart(const RecoveredState& found) {
    states_ = {found};
    synced_ = 0;
  }

  Result<void> Step(DataFolder& folder) {
    switch (random_.Below(6)) {
      case 0:
        return TakeSnapshot(folder, false);
      case 1:
        return random_.Chance(0.2) ? TakeSnapshot(folder, true)
                                   : Compact(folder);
      case 2:
        BOOST_LEAF_CHECK(folder.Sync());
        synced_ = states_.size() - 1;
        return {};
      default:
        return Append(folder);
    }
  }

 private:
  static LogIndex Last(const RecoveredState& state) {
    if (!state.entries.empty()) {
      return state.entries.back().index;
    }
    return state.snapshot != nullptr ? state.snapshot->index : LogIndex(0);
  }

  Result<void> Append(DataFolder& folder) {
    RecoveredState next = states_.back();
    Persist persist;
    next.hard_state.term = next.hard_state.term.Next();
    persist.hard_state = next.hard_state;
    if (!next.entries.empty() && random_.Chance(0.3)) {
      const std::size_t kept = random_.Below(next.entries.size());
      persist.truncate_from = next.entries[kept].index;
      next.entries.resize(kept);
    }
    for (std::uint64_t i = random_.Below(4); i > 0; --i) {
      persist.entries.push_back(
          Entry(Last(next).value() + 1, next.hard_state.term.value()));
      next.entries.push_back(persist.entries.back());
    }
    states_.push_back(next);
    return folder.Write(persist);
  }

  Result<void> TakeSnapshot(DataFolder& folder, bool reset_log) {
    RecoveredState next = states_.back();
    if (next.entries.empty()) {
      return {};
    }
    const LogEntry at = next.entries[random_.Below(next.entries.size())];
    const LogIndex index(reset_log ? Last(next).value() + 10
                                   : at.index.value());
    next.snapshot = std::make_shared<const Snapshot>(
        Snapshot{index, reset_log ? next.hard_state.term : at.term, {}, "s"});
    std::erase_if(next.entries, [&](const LogEntry& entry) {
      return reset_log || entry.index <= index;
    });
    states_.push_back(next);
    BOOST_LEAF_CHECK(folder.Write(
        PersistSnapshot{PersistTicket(1), next.snapshot, reset_log}));
    synced_ = states_.size() - 1;
    return {};
  }

  Result<void> Compact(DataFolder& folder) {
    if (states_.back().snapshot == nullptr) {
      return {};
    }
    return folder.Write(consensus::CompactLog{states_.back().snapshot->index});
  }

  Random random_;
  std::vector<RecoveredState> states_;
  std::size_t synced_ = 0;
};

bool IsSame(const RecoveredState& left, const RecoveredState& right) {
  const bool same_snapshot =
      (left.snapshot == nullptr) == (right.snapshot == nullptr) &&
      (left.snapshot == nullptr || *left.snapshot == *right.snapshot);
  return same_snapshot && left.hard_state == right.hard_state &&
         left.entries == right.entries;
}

// Returns whether `found` is the state after the last synced write or after one
// of the later, unsynced ones.
bool MatchesWrittenState(const Writer& writer, const RecoveredState& found) {
  for (std::size_t i = writer.synced(); i < writer.states().size(); ++i) {
    if (IsSame(writer.states()[i], found)) {
      return true;
    }
  }
  return false;
}

constexpr std::uint64_t kSeedsInCi = 300;

std::uint64_t SeedCount() {
  const char* text = std::getenv("BILBERRYSPOOL_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : kSeedsInCi;
}

TEST_CASE("after a crash at any call the folder holds what was synced") {
  // Guards against a replica that forgets a vote or an accepted entry after a
  // power loss. The process stops between any two calls to the file system, and
  // unsynced bytes and file names are lost, torn or garbled. Causes can be a
  // file, rename or folder that was not synced in time, or a torn tail that was
  // read as a record.
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    INFO("seed " << seed);
    FakeFileSystem files(seed);
    Random random(seed + 1000);
    Writer writer(seed + 2000);
    RecoveredState start = writer.states().front();
    for (int restart = 0; restart < 6; ++restart) {
      std::unique_ptr<DataFolder> folder = OpenFolder(files);
      REQUIRE(folder != nullptr);
      if (restart == 0) {
        CHECK_FALSE(ErrorOf([&]() -> Result<void> {
          BOOST_LEAF_CHECK(
              folder->Write(Persist{PersistTicket(1), start.hard_state}));
          return folder->Sync();
        }));
      } else {
        REQUIRE(MatchesWrittenState(writer, folder->recovered()));
        writer.Restart(folder->recovered());
      }
      files.set_calls_left(random.Below(60));
      while (!ErrorOf([&] { return writer.Step(*folder); })) {
      }
      CHECK(ErrorOf([&] { return folder->Sync(); }) ==
            StorageErrorKind::kFailedBefore);
      folder.reset();
      files.Crash();
    }
  }
}

TEST_CASE("a crash while the folder is created or opened leaves it usable") {
  for (std::uint64_t calls = 0; calls < 12; ++calls) {
    INFO("calls " << calls);
    FakeFileSystem files(calls);
    files.set_calls_left(calls);
    OpenFolder(files);
    files.Crash();
    const auto folder = OpenFolder(files);
    REQUIRE(folder != nullptr);
    CHECK(folder->recovered().entries.empty());
  }
}

// Creates a folder with several log files and a snapshot.
void Fill(FakeFileSystem& files) {
  const auto folder = OpenFolder(files);
  REQUIRE(folder != nullptr);
  CHECK_FALSE(ErrorOf([&]() -> Result<void> {
    HardState hard;
    hard.cluster = consensus::ClusterId(1);
    hard.term = Term(1);
    for (std::uint64_t i = 1; i <= 20; ++i) {
      BOOST_LEAF_CHECK(
          folder->Write(Persist{PersistTicket(i), hard, {}, {Entry(i, 1)}}));
      BOOST_LEAF_CHECK(folder->Sync());
    }
    const auto snapshot = std::make_shared<const Snapshot>(
        Snapshot{LogIndex(5), Term(1), {}, "state"});
    BOOST_LEAF_CHECK(
        folder->Write(PersistSnapshot{PersistTicket(21), snapshot}));
    return folder->Write(consensus::CompactLog{LogIndex(5)});
  }));
  CHECK(folder->segment_count() > 3);
}

TEST_CASE("damage to what was synced is reported, never skipped") {
  // Guards against a replica that restarts with older data than it
  // acknowledged. One byte of any file is damaged after its sync; the fault
  // would be to continue after the damage or to use older data. Only the last
  // record of the log can't be distinguished from a torn tail.
  FakeFileSystem sample(1);
  Fill(sample);
  const std::string last_log = [&] {
    std::string last;
    for (const std::string& path : sample.paths()) {
      last = path.find("log-") != std::string::npos ? path : last;
    }
    return last;
  }();
  for (const std::string& path : sample.paths()) {
    for (std::size_t at = 0; at < sample.bytes(path).size(); at += 37) {
      INFO(path << " at " << at);
      FakeFileSystem files(1);
      Fill(files);
      files.bytes(path)[at] ^= 0x20;
      const bool may_be_tail =
          path == last_log && at + 400 > files.bytes(path).size();
      const auto error = OpenError(files);
      CHECK((error == StorageErrorKind::kCorrupt || may_be_tail));
    }
  }
}

TEST_CASE("a missing file is reported") {
  FakeFileSystem sample(1);
  Fill(sample);
  const std::vector<std::string> paths = sample.paths();
  for (const std::string& path : paths) {
    const bool is_last_log = path == paths[paths.size() - 2];
    if (is_last_log) {
      continue;  // Same as a log file that was never created.
    }
    INFO(path);
    FakeFileSystem files(1);
    Fill(files);
    CHECK_FALSE(ErrorOf([&] { return files.Remove(path); }));
    CHECK(OpenError(files) == StorageErrorKind::kCorrupt);
  }
}

TEST_CASE("a record is valid only in its own file and at its own offset") {
  // Guards against old entries that reappear at the end of the log. A crash can
  // leave blocks of an earlier file in a newer one; a checksum of the payload
  // alone would accept them.
  const std::string record = EncodeRecord("payload", 4, 0, 0);
  CHECK(ScanRecords(record, 4).payloads.size() == 1);
  CHECK(ScanRecords(record, 5).payloads.empty());
  const ScanResult twice = ScanRecords(record + record, 4);
  CHECK(twice.payloads.size() == 1);
  CHECK(twice.verdict == ScanVerdict::kTornTail);
}

TEST_CASE("a folder opens only for its owner and for one process at a time") {
  FakeFileSystem files(1);
  auto folder = OpenFolder(files);
  REQUIRE(folder != nullptr);
  CHECK(OpenError(files) == StorageErrorKind::kLocked);
  folder.reset();
  DataFolderOptions other = Options();
  other.node = NodeId("marka-1");
  CHECK(OpenError(files, other) == StorageErrorKind::kWrongOwner);
  other = Options();
  other.deployment = "kalapuwa";
  CHECK(OpenError(files, other) == StorageErrorKind::kWrongOwner);
  folder = OpenFolder(files, Options(99));
  REQUIRE(folder != nullptr);
  CHECK(folder->recovered().self.identity == consensus::ReplicaIdentity(7));
  CHECK_FALSE(ErrorOf([&] { return folder->MarkUnusable("superseded"); }));
  folder.reset();
  CHECK(OpenError(files) == StorageErrorKind::kUnusable);
}

TEST_CASE("a data folder on POSIX files keeps its state across restarts") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("bilberryspool_storage_test_" +
                     std::to_string(std::hash<std::string>()(
                         std::filesystem::current_path().string())));
  std::filesystem::remove_all(path);
  PosixFileSystem files;
  DataFolderOptions options = Options();
  options.path = (path / "data").string();
  Writer writer(3);
  for (int restart = 0; restart < 3; ++restart) {
    auto folder = OpenFolder(files, options);
    REQUIRE(folder != nullptr);
    CHECK(OpenError(files, options) == StorageErrorKind::kLocked);
    if (restart == 0) {
      CHECK_FALSE(ErrorOf([&] {
        return folder->Write(
            Persist{PersistTicket(1), writer.states().front().hard_state});
      }));
    } else {
      CHECK(IsSame(folder->recovered(), writer.states().back()));
    }
    for (int i = 0; i < 60; ++i) {
      CHECK_FALSE(ErrorOf([&] { return writer.Step(*folder); }));
    }
    CHECK_FALSE(ErrorOf([&] { return folder->Sync(); }));
  }
  std::filesystem::remove_all(path);
}

}  // namespace
}  // namespace bilberryspool::storage
