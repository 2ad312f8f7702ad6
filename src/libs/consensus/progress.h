#ifndef LIBS_CONSENSUS_PROGRESS_H_
#define LIBS_CONSENSUS_PROGRESS_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "libs/base/time.h"
#include "libs/consensus/message.h"
#include "libs/consensus/persistent_state.h"

namespace bilberryspool::consensus {

// A leader's knowledge of one follower's log, and what to send to it next.
class Progress {
 public:
  enum class Mode {
    // The follower's log is not known: heartbeats find the index up to which
    // it matches. They carry no entries, so that a dead follower costs little.
    kProbe,
    // The log matches: Appends are sent without waiting for replies.
    kReplicate,
    // The follower needs compacted entries: snapshot parts are sent one at a
    // time.
    kSnapshot,
  };

  // Initially assumes that the follower has all entries up to `last_index`.
  explicit Progress(LogIndex last_index) : next_(last_index.Next()) {}

  Mode mode() const { return mode_; }
  // Highest index known to be synced in the follower's log.
  LogIndex match() const { return match_; }
  LogIndex next() const { return next_; }
  // Send time of the latest message that the follower acknowledged. The lease
  // of the leader is counted from this time.
  TimePoint acked_sent_at() const { return acked_sent_at_; }
  bool has_answered() const { return has_answered_; }
  bool AnsweredSince(TimePoint sent_at) const {
    return has_answered_ && acked_sent_at_ >= sent_at;
  }

  // Whether an Append with entries may be sent.
  bool CanSendEntries(std::size_t max_inflight) const;
  void NoteSentEntries(LogIndex last);
  // Whether a probe was rejected and the next one should be sent without
  // waiting for the heartbeat interval. Resets the flag.
  bool TakeProbeDue();

  // Any reply of this leader's term proves that the follower received the
  // message sent at `sent_at`.
  void NoteAnswer(TimePoint sent_at);
  void NoteAccepted(LogIndex match, TimePoint now);
  // Returns false if the reply is outdated and changes nothing.
  bool NoteRejected(LogIndex rejected_prev, LogIndex hint);
  // Whether a rejection shows that acknowledged entries are lost. Only a reply
  // to a message sent after the acknowledgement counts: a delayed one describes
  // the log as it was before.
  bool ShowsRegression(LogIndex last_index, TimePoint sent_at) const;

  // Keeps sending this snapshot until it is installed, even if a newer one is
  // taken: otherwise a slow follower would start over each time.
  void BeginSnapshot(std::shared_ptr<const Snapshot> snapshot);
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }
  std::uint64_t snapshot_offset() const { return snapshot_offset_; }
  bool CanSendSnapshotPart(TimePoint now) const;
  void NoteSentSnapshotPart(TimePoint now, Duration retry_after);
  void NoteSnapshotOffset(std::uint64_t next_offset);
  void NoteInstalled(LogIndex index, TimePoint now);

 private:
  Mode mode_ = Mode::kProbe;
  LogIndex match_;
  LogIndex next_;
  // Last index of each Append in flight.
  std::deque<LogIndex> inflight_;
  bool probe_due_ = false;
  TimePoint retry_at_;
  TimePoint acked_sent_at_;
  TimePoint match_at_;
  bool has_answered_ = false;
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t snapshot_offset_ = 0;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_PROGRESS_H_
