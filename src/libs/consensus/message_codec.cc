#include "libs/consensus/message_codec.h"

#include "libs/consensus/json_archive.h"

namespace bilberryspool::consensus {
namespace internal {

template <>
struct NamesOf<EntryPayload> {
  static constexpr const char* kNames[] = {"noOp", "command", "membership"};
};
static_assert(std::size(NamesOf<EntryPayload>::kNames) ==
              std::variant_size_v<EntryPayload>);

template <>
struct NamesOf<MessageBody> {
  static constexpr const char* kNames[] = {"preVote",
                                           "preVoteReply",
                                           "vote",
                                           "voteReply",
                                           "append",
                                           "appendReply",
                                           "installSnapshot",
                                           "installSnapshotReply",
                                           "timeoutNow",
                                           "hello",
                                           "helloReply",
                                           "superseded",
                                           "regressed"};
};
static_assert(std::size(NamesOf<MessageBody>::kNames) ==
              std::variant_size_v<MessageBody>);

constexpr unsigned kAsciiEnd = 0x80;

std::string BytesToUtf8(const std::string& bytes) {
  std::string utf8;
  utf8.reserve(bytes.size());
  for (const char byte : bytes) {
    const auto code = static_cast<unsigned char>(byte);
    if (code < kAsciiEnd) {
      utf8.push_back(byte);
      continue;
    }
    utf8.push_back(static_cast<char>(0xC0U | (code >> 6U)));
    utf8.push_back(static_cast<char>(0x80U | (code & 0x3FU)));
  }
  return utf8;
}

bool Utf8ToBytes(std::string_view utf8, std::string& bytes) {
  bytes.clear();
  bytes.reserve(utf8.size());
  for (std::size_t i = 0; i < utf8.size(); ++i) {
    const auto lead = static_cast<unsigned char>(utf8[i]);
    if (lead < kAsciiEnd) {
      bytes.push_back(utf8[i]);
      continue;
    }
    const bool is_byte = (lead & 0xFCU) == 0xC0U && i + 1 < utf8.size();
    if (!is_byte) {
      return false;
    }
    ++i;
    const auto tail = static_cast<unsigned char>(utf8[i]);
    bytes.push_back(static_cast<char>(((lead & 0x03U) << 6U) | (tail & 0x3FU)));
  }
  return true;
}

}  // namespace internal

// The archives find these functions by argument-dependent lookup.
template <typename Archive>
void Fields(Archive& archive, MemberId& it) {
  archive("node", it.node);
  archive("identity", it.identity);
}

template <typename Archive>
void Fields(Archive& archive, Learner& it) {
  archive("id", it.id);
  archive("replaces", it.replaces);
}

template <typename Archive>
void Fields(Archive& archive, Membership& it) {
  archive("voters", it.voters);
  archive("outgoing", it.outgoing);
  archive("learners", it.learners);
}

template <typename Archive>
void Fields(Archive& /*archive*/, NoOp& /*it*/) {}

template <typename Archive>
void Fields(Archive& archive, Command& it) {
  archive("bytes", it.bytes);
}

template <typename Archive>
void Fields(Archive& archive, LogEntry& it) {
  archive("index", it.index);
  archive("term", it.term);
  archive("payload", it.payload);
}

template <typename Archive>
void Fields(Archive& archive, HardState& it) {
  archive("cluster", it.cluster);
  archive("epoch", it.epoch);
  archive("term", it.term);
  archive("vote", it.vote);
}

template <typename Archive>
void Fields(Archive& archive, Snapshot& it) {
  archive("index", it.index);
  archive("term", it.term);
  archive("membership", it.membership);
  archive("data", it.data);
}

template <typename Archive>
void Fields(Archive& archive, PreVote& it) {
  archive("lastIndex", it.last_index);
  archive("lastTerm", it.last_term);
}

template <typename Archive>
void Fields(Archive& archive, PreVoteReply& it) {
  archive("forTerm", it.for_term);
  archive("granted", it.granted);
}

template <typename Archive>
void Fields(Archive& archive, Vote& it) {
  archive("lastIndex", it.last_index);
  archive("lastTerm", it.last_term);
  archive("forced", it.forced);
}

template <typename Archive>
void Fields(Archive& archive, VoteReply& it) {
  archive("granted", it.granted);
}

template <typename Archive>
void Fields(Archive& archive, Append& it) {
  archive("prevIndex", it.prev_index);
  archive("prevTerm", it.prev_term);
  archive("commit", it.commit);
  archive("entries", it.entries);
  archive("sentAt", it.sent_at);
}

template <typename Archive>
void Fields(Archive& archive, AppendReply& it) {
  archive("accepted", it.accepted);
  archive("match", it.match);
  archive("rejectedPrev", it.rejected_prev);
  archive("hint", it.hint);
  archive("lastIndex", it.last_index);
  archive("sentAt", it.sent_at);
}

template <typename Archive>
void Fields(Archive& archive, InstallSnapshot& it) {
  archive("index", it.index);
  archive("snapshotTerm", it.snapshot_term);
  archive("membership", it.membership);
  archive("offset", it.offset);
  archive("total", it.total);
  archive("data", it.data);
  archive("sentAt", it.sent_at);
}

template <typename Archive>
void Fields(Archive& archive, InstallSnapshotReply& it) {
  archive("index", it.index);
  archive("nextOffset", it.next_offset);
  archive("installed", it.installed);
  archive("sentAt", it.sent_at);
}

template <typename Archive>
void Fields(Archive& archive, Hello& it) {
  archive("round", it.round);
  archive("initialVoters", it.initial_voters);
}

template <typename Archive>
void Fields(Archive& archive, HelloReply& it) {
  archive("round", it.round);
  archive("blank", it.blank);
  archive("initialVoters", it.initial_voters);
}

template <typename Archive>
void Fields(Archive& /*archive*/, TimeoutNow& /*it*/) {}

template <typename Archive>
void Fields(Archive& /*archive*/, Superseded& /*it*/) {}

template <typename Archive>
void Fields(Archive& /*archive*/, Regressed& /*it*/) {}

template <typename Archive>
void Fields(Archive& archive, Message& it) {
  archive("from", it.from);
  archive("to", it.to);
  archive("cluster", it.cluster);
  archive("epoch", it.epoch);
  archive("term", it.term);
  archive("body", it.body);
}

namespace {

// Fields() serves both directions and takes a mutable reference, therefore
// `value` is a copy.
template <typename T>
boost::json::value Write(T value) {
  return internal::JsonWriter::Write(value);
}

template <typename T>
std::optional<T> Read(const boost::json::value& json) {
  T value{};
  if (!internal::JsonReader::Read(json, value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

boost::json::value ToJson(const Message& message) {
  return Write(message);
}

boost::json::value ToJson(const LogEntry& entry) {
  return Write(entry);
}

boost::json::value ToJson(const HardState& state) {
  return Write(state);
}

boost::json::value ToJson(const Snapshot& snapshot) {
  return Write(snapshot);
}

std::optional<Message> MessageFromJson(const boost::json::value& json) {
  return Read<Message>(json);
}

std::optional<LogEntry> LogEntryFromJson(const boost::json::value& json) {
  return Read<LogEntry>(json);
}

std::optional<HardState> HardStateFromJson(const boost::json::value& json) {
  return Read<HardState>(json);
}

std::optional<Snapshot> SnapshotFromJson(const boost::json::value& json) {
  return Read<Snapshot>(json);
}

}  // namespace bilberryspool::consensus
