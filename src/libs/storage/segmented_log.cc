#include "libs/storage/segmented_log.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/leaf/error.hpp>

#include "libs/storage/record_frame.h"

namespace bilberryspool::storage {
namespace {

constexpr std::string_view kPrefix = "log-";
constexpr std::size_t kDigits = 12;

std::optional<std::uint64_t> NumberOf(const std::string& name) {
  if (name.rfind(kPrefix, 0) != 0) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = name.data() + name.size();
  const auto parsed =
      std::from_chars(name.data() + kPrefix.size(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

boost::leaf::error_id Corrupt(const std::string& path,
                              const std::string& detail) {
  return boost::leaf::new_error(
      StorageError{StorageErrorKind::kCorrupt, path, detail});
}

}  // namespace

SegmentedLog::SegmentedLog(FileSystem& files,
                           std::string folder,
                           std::uint64_t limit)
    : files_(files), folder_(std::move(folder)), max_segment_bytes_(limit) {}

Result<std::unique_ptr<SegmentedLog>> SegmentedLog::Open(
    FileSystem& files,
    const std::string& folder,
    std::uint64_t segment_bytes,
    bool may_create,
    std::vector<LogRecord>& records) {
  std::unique_ptr<SegmentedLog> log(
      new SegmentedLog(files, folder, segment_bytes));
  BOOST_LEAF_CHECK(log->ReadAll(records));
  if (log->segments_.empty()) {
    if (!may_create) {
      return Corrupt(folder, "the log is missing");
    }
    BOOST_LEAF_CHECK(log->StartSegment(1));
    return log;
  }
  const std::string path = log->PathOf(log->segments_.back().number);
  BOOST_LEAF_ASSIGN(log->file_, files.OpenAppend(path));
  // After a crash the last bytes that were read may be in the page cache only.
  BOOST_LEAF_CHECK(log->Sync());
  return log;
}

std::string SegmentedLog::PathOf(std::uint64_t number) const {
  std::string digits = std::to_string(number);
  digits.insert(0, kDigits - std::min(kDigits, digits.size()), '0');
  return folder_ + "/" + std::string(kPrefix) + digits;
}

Result<void> SegmentedLog::ReadAll(std::vector<LogRecord>& records) {
  BOOST_LEAF_AUTO(names, files_.List(folder_));
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : names) {
    if (const auto number = NumberOf(name)) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  for (const std::uint64_t number : numbers) {
    if (number - numbers.front() != segments_.size()) {
      return Corrupt(PathOf(number), "a log file before this one is missing");
    }
    BOOST_LEAF_CHECK(ReadSegment(number, number == numbers.back(), records));
  }
  return {};
}

Result<void> SegmentedLog::ReadSegment(std::uint64_t number,
                                       bool is_last,
                                       std::vector<LogRecord>& records) {
  const std::string path = PathOf(number);
  BOOST_LEAF_AUTO(bytes, files_.Read(path));
  const ScanResult scan = ScanRecords(bytes, number);
  if (scan.verdict == ScanVerdict::kCorrupt ||
      (scan.verdict == ScanVerdict::kTornTail && !is_last)) {
    return Corrupt(path, "a synced record is damaged at byte " +
                             std::to_string(scan.valid_size));
  }
  if (scan.payloads.empty()) {
    // A crash left the file empty after its creation; only the last file can be
    // empty.
    if (!is_last) {
      return Corrupt(path, "a log file is empty");
    }
    BOOST_LEAF_CHECK(files_.Remove(path));
    return files_.SyncFolder(folder_);
  }
  if (scan.verdict == ScanVerdict::kTornTail) {
    BOOST_LEAF_CHECK(files_.Truncate(path, scan.valid_size));
  }
  segments_.push_back({number, LogIndex(0)});
  for (const std::string& payload : scan.payloads) {
    auto record = DecodeLogRecord(payload);
    if (!record) {
      return Corrupt(path, "a record can't be decoded");
    }
    UpdateFromRecord(*record);
    records.push_back(std::move(*record));
  }
  size_ = scan.valid_size;
  return {};
}

void SegmentedLog::UpdateFromRecord(const LogRecord& record) {
  if (record.hard_state) {
    hard_state_ = *record.hard_state;
  }
  LogIndex& last = segments_.back().last_index;
  if (!record.entries.empty()) {
    last = std::max(last, record.entries.back().index);
  }
  if (record.reset_to) {
    last = std::max(last, *record.reset_to);
  }
}

Result<void> SegmentedLog::StartSegment(std::uint64_t number) {
  BOOST_LEAF_ASSIGN(file_, files_.OpenAppend(PathOf(number)));
  segments_.push_back({number, LogIndex(0)});
  size_ = 0;
  synced_size_ = 0;
  LogRecord header;
  header.hard_state = hard_state_;
  BOOST_LEAF_CHECK(Write(header));
  BOOST_LEAF_CHECK(Sync());
  return files_.SyncFolder(folder_);
}

Result<void> SegmentedLog::Append(const LogRecord& record) {
  if (size_ >= max_segment_bytes_) {
    // A file is synced before the next one is created, so that only the last
    // one can have a torn tail.
    BOOST_LEAF_CHECK(Sync());
    BOOST_LEAF_CHECK(StartSegment(segments_.back().number + 1));
  }
  return Write(record);
}

Result<void> SegmentedLog::Write(const LogRecord& record) {
  const std::string bytes = EncodeRecord(
      EncodeLogRecord(record), segments_.back().number, size_, synced_size_);
  BOOST_LEAF_CHECK(file_->Append(bytes));
  size_ += bytes.size();
  UpdateFromRecord(record);
  return {};
}

Result<void> SegmentedLog::Sync() {
#if !defined(BILBERRYSPOOL_MUTATION_SKIP_SYNC)
  BOOST_LEAF_CHECK(file_->Sync());
#endif
  synced_size_ = size_;
  return {};
}

Result<void> SegmentedLog::RemoveThrough(LogIndex through) {
  while (segments_.size() > 1 && segments_.front().last_index <= through) {
    BOOST_LEAF_CHECK(files_.Remove(PathOf(segments_.front().number)));
    // Removes the oldest file first and makes each removal durable: a gap in
    // the file numbers is treated as damage.
    BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
    segments_.erase(segments_.begin());
  }
  return {};
}

}  // namespace bilberryspool::storage
