#ifndef LIBS_STORAGE_LOG_RECORD_H_
#define LIBS_STORAGE_LOG_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/consensus/persistent_state.h"

namespace bilberryspool::storage {

// One record of the log: one atomic write of the replica. Its parts are applied
// in the order of the fields.
struct LogRecord {
  std::optional<consensus::HardState> hard_state;
  // Index of a snapshot that replaces the whole log.
  std::optional<LogIndex> reset_to;
  std::optional<LogIndex> truncate_from;
  std::vector<consensus::LogEntry> entries;
};

std::string EncodeLogRecord(const LogRecord& record);
// Returns std::nullopt if the bytes are not a valid record.
std::optional<LogRecord> DecodeLogRecord(std::string_view bytes);

}  // namespace bilberryspool::storage

#endif  // LIBS_STORAGE_LOG_RECORD_H_
