#include "libs/storage/data_folder.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include "libs/consensus/message_codec.h"
#include "libs/storage/log_replay.h"
#include "libs/storage/record_frame.h"

namespace bilberryspool::storage {
namespace {

namespace json = boost::json;

constexpr std::uint64_t kFormat = 1;
constexpr const char* kLockName = "lock";
constexpr const char* kIdentityName = "identity";
constexpr const char* kUnusableName = "unusable";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::size_t kDigits = 20;

boost::leaf::error_id Fail(StorageErrorKind kind,
                           const std::string& path,
                           const std::string& detail) {
  return boost::leaf::new_error(StorageError{kind, path, detail});
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string SnapshotName(LogIndex index) {
  std::string digits = std::to_string(index.value());
  digits.insert(0, kDigits - digits.size(), '0');
  return std::string(kSnapshotPrefix) + digits;
}

std::uint64_t NumberIn(const json::object& object, const char* key) {
  const json::value* found = object.if_contains(key);
  if (found == nullptr) {
    return 0;
  }
  json::error_code error;
  return found->to_number<std::uint64_t>(error);
}

std::string TextIn(const json::object& object, const char* key) {
  const json::value* found = object.if_contains(key);
  if (found == nullptr || !found->is_string()) {
    return "";
  }
  return std::string(found->get_string());
}

}  // namespace

DataFolder::DataFolder(FileSystem& files, DataFolderOptions options)
    : files_(files), options_(std::move(options)) {}

Result<std::unique_ptr<DataFolder>> DataFolder::Open(
    FileSystem& files,
    DataFolderOptions options) {
  std::unique_ptr<DataFolder> folder(new DataFolder(files, std::move(options)));
  BOOST_LEAF_CHECK(folder->Load());
  return folder;
}

std::string DataFolder::PathOf(const std::string& name) const {
  return options_.path + "/" + name;
}

Result<void> DataFolder::Load() {
  BOOST_LEAF_CHECK(files_.MakeFolder(options_.path));
  BOOST_LEAF_ASSIGN(lock_, files_.Lock(PathOf(kLockName)));
  BOOST_LEAF_AUTO(names, files_.List(options_.path));
  if (Contains(names, kUnusableName)) {
    return Fail(
        StorageErrorKind::kUnusable, PathOf(kUnusableName),
        "the replica was halted; move the folder away and add the replica "
        "again with an empty one");
  }
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) {
      BOOST_LEAF_CHECK(files_.Remove(PathOf(name)));
    }
  }
  recovered_.self.node = options_.node;
  is_new_ = !Contains(names, kIdentityName);
  if (!is_new_) {
    BOOST_LEAF_CHECK(LoadIdentity());
  }
  BOOST_LEAF_CHECK(LoadSnapshot(names));
  BOOST_LEAF_CHECK(LoadLog());
  // Written last, so that a folder with an identity always has a log.
  if (is_new_) {
    return MakeIdentity();
  }
  return {};
}

Result<void> DataFolder::MakeIdentity() {
  const json::object identity = {{"format", kFormat},
                                 {"deployment", options_.deployment},
                                 {"node", options_.node.value()},
                                 {"identity", options_.new_identity.value()}};
  recovered_.self.identity = options_.new_identity;
  return WriteFileAtomically(kIdentityName, json::serialize(identity));
}

Result<void> DataFolder::LoadIdentity() {
  BOOST_LEAF_AUTO(bytes, ReadCheckedFile(kIdentityName));
  const std::string path = PathOf(kIdentityName);
  json::error_code error;
  const json::value parsed = json::parse(bytes, error);
  if (error || !parsed.is_object()) {
    return Fail(StorageErrorKind::kCorrupt, path,
                "not a JSON object with an identity");
  }
  const json::object& object = parsed.get_object();
  if (NumberIn(object, "format") > kFormat) {
    return Fail(StorageErrorKind::kNewerFormat, path,
                "written by a newer binary");
  }
  if (TextIn(object, "deployment") != options_.deployment ||
      TextIn(object, "node") != options_.node.value()) {
    return Fail(StorageErrorKind::kWrongOwner, path,
                "belongs to node '" + TextIn(object, "node") +
                    "' of deployment '" + TextIn(object, "deployment") + "'");
  }
  recovered_.self.identity =
      consensus::ReplicaIdentity(NumberIn(object, "identity"));
  return {};
}

Result<void> DataFolder::LoadSnapshot(const std::vector<std::string>& names) {
  std::vector<std::string> snapshots;
  for (const std::string& name : names) {
    if (name.starts_with(kSnapshotPrefix) &&
        !name.ends_with(kTemporarySuffix)) {
      snapshots.push_back(name);
    }
  }
  if (snapshots.empty()) {
    return {};
  }
  BOOST_LEAF_AUTO(bytes, ReadCheckedFile(snapshots.back()));
  json::error_code error;
  auto snapshot = consensus::SnapshotFromJson(json::parse(bytes, error));
  if (error || !snapshot) {
    return Fail(StorageErrorKind::kCorrupt, PathOf(snapshots.back()),
                "not a valid snapshot");
  }
  snapshot_index_ = snapshot->index;
  recovered_.snapshot =
      std::make_shared<const consensus::Snapshot>(std::move(*snapshot));
  snapshots.pop_back();
  for (const std::string& older : snapshots) {
    BOOST_LEAF_CHECK(files_.Remove(PathOf(older)));
  }
  return {};
}

Result<void> DataFolder::LoadLog() {
  std::vector<LogRecord> records;
  BOOST_LEAF_ASSIGN(
      log_, SegmentedLog::Open(files_, options_.path, options_.segment_bytes,
                               is_new_, records));
  LogReplay replay;
  bool must_reset = false;
  for (const LogRecord& record : records) {
    if (!replay.Add(record)) {
      return Fail(StorageErrorKind::kCorrupt, options_.path,
                  "the log records are not consecutive");
    }
  }
  if (!replay.AlignWithSnapshot(recovered_.snapshot.get(), must_reset)) {
    return Fail(StorageErrorKind::kCorrupt, options_.path,
                "entries are missing between the snapshot and the log");
  }
  recovered_.hard_state = replay.hard_state();
  recovered_.entries = replay.entries();
  const bool is_empty = recovered_.hard_state == consensus::HardState{} &&
                        recovered_.entries.empty() &&
                        snapshot_index_ == LogIndex(0);
  if (is_new_ && !is_empty) {
    return Fail(StorageErrorKind::kCorrupt, PathOf(kIdentityName),
                "the folder has a log but no identity");
  }
  if (must_reset) {
    LogRecord reset;
    reset.reset_to = snapshot_index_;
    return AppendAndSync(reset);
  }
  return {};
}

Result<void> DataFolder::WriteFileAtomically(const std::string& name,
                                             const std::string& payload) {
  const std::string path = PathOf(name);
  const std::string temporary = path + std::string(kTemporarySuffix);
  {
    BOOST_LEAF_AUTO(file, files_.OpenAppend(temporary));
    BOOST_LEAF_CHECK(file->Append(EncodeRecord(payload, 0, 0, 0)));
    BOOST_LEAF_CHECK(file->Sync());
  }
  BOOST_LEAF_CHECK(files_.Rename(temporary, path));
  return files_.SyncFolder(options_.path);
}

Result<std::string> DataFolder::ReadCheckedFile(const std::string& name) {
  BOOST_LEAF_AUTO(bytes, files_.Read(PathOf(name)));
  ScanResult scan = ScanRecords(bytes, 0);
  // The file was renamed into place after its sync, so a torn tail is damage
  // here.
  if (scan.verdict != ScanVerdict::kClean || scan.payloads.size() != 1) {
    return Fail(StorageErrorKind::kCorrupt, PathOf(name),
                "the file is damaged");
  }
  return std::move(scan.payloads.front());
}

Result<void> DataFolder::Write(const consensus::Persist& persist) {
  BOOST_LEAF_CHECK(CheckUsable());
  LogRecord record;
  record.hard_state = persist.hard_state;
  record.truncate_from = persist.truncate_from;
  record.entries = persist.entries;
  return RecordFailure(log_->Append(record));
}

Result<void> DataFolder::Sync() {
  BOOST_LEAF_CHECK(CheckUsable());
  return RecordFailure(log_->Sync());
}

Result<void> DataFolder::Write(const consensus::PersistSnapshot& persist) {
  BOOST_LEAF_CHECK(Sync());
  BOOST_LEAF_CHECK(RecordFailure(StoreSnapshot(*persist.snapshot)));
  if (!persist.reset_log) {
    return {};
  }
  LogRecord reset;
  reset.reset_to = persist.snapshot->index;
  return RecordFailure(AppendAndSync(reset));
}

Result<void> DataFolder::StoreSnapshot(const consensus::Snapshot& snapshot) {
  const LogIndex older = snapshot_index_;
  BOOST_LEAF_CHECK(
      WriteFileAtomically(SnapshotName(snapshot.index),
                          json::serialize(consensus::ToJson(snapshot))));
  snapshot_index_ = snapshot.index;
  if (older > LogIndex(0) && older != snapshot.index) {
    return files_.Remove(PathOf(SnapshotName(older)));
  }
  return {};
}

Result<void> DataFolder::AppendAndSync(const LogRecord& record) {
  BOOST_LEAF_CHECK(log_->Append(record));
  return log_->Sync();
}

Result<void> DataFolder::Write(const consensus::CompactLog& compact) {
  BOOST_LEAF_CHECK(CheckUsable());
  return RecordFailure(
      log_->RemoveThrough(std::min(compact.through, snapshot_index_)));
}

Result<void> DataFolder::Write(const consensus::ForcedConfiguration& forced) {
  BOOST_LEAF_CHECK(CheckUsable());
  LogRecord record;
  record.hard_state = forced.hard_state;
  record.entries = {forced.entry};
  return RecordFailure(AppendAndSync(record));
}

Result<void> DataFolder::MarkUnusable(const std::string& why) {
  BOOST_LEAF_CHECK(WriteFileAtomically(kUnusableName, why));
  failed_ = true;
  return {};
}

Result<void> DataFolder::RecordFailure(Result<void> result) {
  failed_ = failed_ || !result;
  return result;
}

Result<void> DataFolder::CheckUsable() const {
  if (failed_) {
    return Fail(StorageErrorKind::kFailedBefore, options_.path,
                "an earlier write failed");
  }
  return {};
}

}  // namespace bilberryspool::storage
