// One entry of the replicated log.

#ifndef LIBS_CONSENSUS_LOG_ENTRY_H_
#define LIBS_CONSENSUS_LOG_ENTRY_H_

#include <string>
#include <variant>

#include "libs/consensus/membership.h"

namespace bilberryspool::consensus {

// Appended by each new leader; committing it also commits the entries of
// earlier terms.
struct NoOp {
  bool operator==(const NoOp&) const = default;
};

// Opaque bytes proposed by the application.
struct Command {
  std::string bytes;

  bool operator==(const Command&) const = default;
};

// A membership takes effect on a replica as soon as it is in its log.
using EntryPayload = std::variant<NoOp, Command, Membership>;

struct LogEntry {
  LogIndex index;
  Term term;
  EntryPayload payload;

  bool operator==(const LogEntry&) const = default;
};

// Approximate size of an entry without its command, in bytes.
inline constexpr std::size_t kEntryOverhead = 48;

// Approximate size of an entry in a batch, in bytes.
inline std::size_t SizeOf(const LogEntry& entry) {
  const auto* command = std::get_if<Command>(&entry.payload);
  return kEntryOverhead + (command != nullptr ? command->bytes.size() : 0);
}

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_LOG_ENTRY_H_
