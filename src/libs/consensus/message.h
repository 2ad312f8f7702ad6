// Messages between replicas.

#ifndef LIBS_CONSENSUS_MESSAGE_H_
#define LIBS_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/consensus/log_entry.h"

namespace bilberryspool::consensus {

// The sender's monotonic time in microseconds. The receiver echoes it and never
// compares it with its own time.
using SentAt = std::int64_t;

// Asks whether an election in term + 1 could be won. Does not change the
// receiver's state, so that a replica that returns from a network partition
// does not depose a healthy leader.
struct PreVote {
  LogIndex last_index;
  Term last_term;
};

struct PreVoteReply {
  Term for_term;
  bool granted = false;
};

struct Vote {
  LogIndex last_index;
  Term last_term;
  // Set during a leadership transfer: the leader has given up its lease.
  bool forced = false;
};

struct VoteReply {
  bool granted = false;
};

// Log entries after `prev_index`; without entries it is a heartbeat.
struct Append {
  LogIndex prev_index;
  Term prev_term;
  LogIndex commit;
  std::vector<LogEntry> entries;
  SentAt sent_at = 0;
};

struct AppendReply {
  bool accepted = false;
  // If accepted: the log matches and is synced to disk up to this index.
  LogIndex match;
  // If rejected: the `prev_index` that did not match.
  LogIndex rejected_prev;
  // If rejected: the index to try next as `prev_index`.
  LogIndex hint;
  LogIndex last_index;
  SentAt sent_at = 0;
};

// One part of a snapshot, from `offset` of `total` bytes.
struct InstallSnapshot {
  LogIndex index;
  Term snapshot_term;
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  SentAt sent_at = 0;
};

struct InstallSnapshotReply {
  LogIndex index;
  // The next offset to send; `total` once the snapshot is installed and synced.
  std::uint64_t next_offset = 0;
  bool installed = false;
  SentAt sent_at = 0;
};

// Tells a caught-up voter to start an election immediately.
struct TimeoutNow {};

// Sent by a replica with a new data folder, or that hears of no leader: asks to
// be admitted and, if its folder is new, whether a deployment already exists.
struct Hello {
  std::uint64_t round = 0;
  std::vector<NodeId> initial_voters;
};

struct HelloReply {
  std::uint64_t round = 0;
  // The replying replica's data folder is new as well.
  bool blank = false;
  std::vector<NodeId> initial_voters;
};

// A forced configuration has ended the receiver's recovery epoch.
struct Superseded {};

// The receiver lacks entries that it had acknowledged.
struct Regressed {};

using MessageBody = std::variant<PreVote,
                                 PreVoteReply,
                                 Vote,
                                 VoteReply,
                                 Append,
                                 AppendReply,
                                 InstallSnapshot,
                                 InstallSnapshotReply,
                                 TimeoutNow,
                                 Hello,
                                 HelloReply,
                                 Superseded,
                                 Regressed>;

// `to.identity` is 0 if the sender does not know it (Hello).
struct Message {
  MemberId from;
  MemberId to;
  ClusterId cluster;
  RecoveryEpoch epoch;
  Term term;
  MessageBody body;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_MESSAGE_H_
