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
  // Fingerprint of what the command asked for.
  std::uint64_t body = 0;
  Outcome outcome;

  bool operator==(const CommandRecord&) const = default;
};

// Remembers the outcomes of commands, so that one that is sent again after its
// answer was lost has no second effect. Part of the replicated state: it
// outlives a change of leader and a restart. Bounded to the latest kCapacity
// commands, about two days at 8,200 a day.
class CommandTable {
 public:
  static constexpr std::size_t kCapacity = 16384;

  // The record, or null.
  const CommandRecord* Find(const CommandId& id) const;

  // Adds a record of an id that isn't in the table.
  void Add(CommandRecord record);

  // Commands up to here may have been forgotten.
  LogIndex forgotten_up_to() const { return forgotten_up_to_; }
  void set_forgotten_up_to(LogIndex index) { forgotten_up_to_ = index; }

  const std::deque<CommandRecord>& records() const { return records_; }

  bool operator==(const CommandTable& other) const {
    return records_ == other.records_ &&
           forgotten_up_to_ == other.forgotten_up_to_;
  }

 private:
  std::deque<CommandRecord> records_;
  // Counts the records ever dropped, so that places stay valid.
  std::size_t evicted_count_ = 0;
  std::map<CommandId, std::size_t> positions_;
  LogIndex forgotten_up_to_;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_COMMAND_TABLE_H_
