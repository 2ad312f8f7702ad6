#ifndef LIBS_CONFIG_COMMAND_TABLE_H_
#define LIBS_CONFIG_COMMAND_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "libs/base/ids.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config {

// The first outcome of a command.
struct CommandRecord {
  CommandId id;
  LogIndex index;
  // Fingerprint of the command's content.
  std::uint64_t body = 0;
  Outcome outcome;

  bool operator==(const CommandRecord&) const = default;
};

// Stores the outcomes of commands, so that a command that is sent again because
// its answer was lost has no second effect. Part of the replicated state, so it
// survives a change of leader and a restart. Bounded to the latest kCapacity
// commands, about two days at 8,200 commands a day.
class CommandTable {
 public:
  static constexpr std::size_t kCapacity = 16384;

  // The record of the command, or null.
  const CommandRecord* Find(const CommandId& id) const;

  // Adds a record, whose id must not be in the table yet.
  void Add(CommandRecord record);

  // The records of commands up to this log index may have been evicted.
  LogIndex forgotten_up_to() const { return forgotten_up_to_; }
  void set_forgotten_up_to(LogIndex index) { forgotten_up_to_ = index; }

  const std::deque<CommandRecord>& records() const { return records_; }

  bool operator==(const CommandTable& other) const {
    return records_ == other.records_ &&
           forgotten_up_to_ == other.forgotten_up_to_;
  }

 private:
  std::deque<CommandRecord> records_;
  // Number of records evicted so far. Positions count evicted records too, so
  // that they stay valid after an eviction.
  std::size_t evicted_count_ = 0;
  std::map<CommandId, std::size_t> positions_;
  LogIndex forgotten_up_to_;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_COMMAND_TABLE_H_
