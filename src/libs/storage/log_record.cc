#include "libs/storage/log_record.h"

#include <utility>

#include <boost/json.hpp>

#include "libs/consensus/message_codec.h"

namespace bilberryspool::storage {
namespace {

namespace json = boost::json;

constexpr const char* kHardState = "hardState";
constexpr const char* kResetTo = "resetTo";
constexpr const char* kTruncateFrom = "truncateFrom";
constexpr const char* kEntries = "entries";

// Returns false if the member is present but not a number.
bool ReadIndex(const json::object& object,
               const char* key,
               std::optional<LogIndex>& index) {
  const json::value* found = object.if_contains(key);
  if (found == nullptr) {
    return true;
  }
  json::error_code error;
  index = LogIndex(found->to_number<std::uint64_t>(error));
  return !error;
}

bool ReadHardState(const json::object& object, LogRecord& record) {
  const json::value* found = object.if_contains(kHardState);
  if (found == nullptr) {
    return true;
  }
  record.hard_state = consensus::HardStateFromJson(*found);
  return record.hard_state.has_value();
}

bool ReadEntries(const json::object& object, LogRecord& record) {
  const json::value* found = object.if_contains(kEntries);
  if (found == nullptr) {
    return true;
  }
  if (!found->is_array()) {
    return false;
  }
  for (const json::value& item : found->get_array()) {
    auto entry = consensus::LogEntryFromJson(item);
    if (!entry) {
      return false;
    }
    record.entries.push_back(std::move(*entry));
  }
  return true;
}

}  // namespace

std::string EncodeLogRecord(const LogRecord& record) {
  json::object object;
  if (record.hard_state) {
    object[kHardState] = consensus::ToJson(*record.hard_state);
  }
  if (record.reset_to) {
    object[kResetTo] = record.reset_to->value();
  }
  if (record.truncate_from) {
    object[kTruncateFrom] = record.truncate_from->value();
  }
  if (!record.entries.empty()) {
    json::array entries;
    for (const consensus::LogEntry& entry : record.entries) {
      entries.push_back(consensus::ToJson(entry));
    }
    object[kEntries] = std::move(entries);
  }
  return json::serialize(object);
}

std::optional<LogRecord> DecodeLogRecord(std::string_view bytes) {
  json::error_code error;
  const json::value parsed = json::parse(bytes, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  const json::object& object = parsed.get_object();
  LogRecord record;
  const bool ok = ReadHardState(object, record) &&
                  ReadIndex(object, kResetTo, record.reset_to) &&
                  ReadIndex(object, kTruncateFrom, record.truncate_from) &&
                  ReadEntries(object, record);
  if (!ok) {
    return std::nullopt;
  }
  return record;
}

}  // namespace bilberryspool::storage
