// JSON encoding of the messages and stored state of replicas. Decoding never
// throws and returns nullopt for malformed input.

#ifndef LIBS_CONSENSUS_MESSAGE_CODEC_H_
#define LIBS_CONSENSUS_MESSAGE_CODEC_H_

#include <optional>

#include <boost/json/value.hpp>

#include "libs/consensus/message.h"
#include "libs/consensus/persistent_state.h"

namespace bilberryspool::consensus {

boost::json::value ToJson(const Message& message);
boost::json::value ToJson(const LogEntry& entry);
boost::json::value ToJson(const HardState& state);
boost::json::value ToJson(const Snapshot& snapshot);

std::optional<Message> MessageFromJson(const boost::json::value& json);
std::optional<LogEntry> LogEntryFromJson(const boost::json::value& json);
std::optional<HardState> HardStateFromJson(const boost::json::value& json);
std::optional<Snapshot> SnapshotFromJson(const boost::json::value& json);

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_MESSAGE_CODEC_H_
