#include "libs/consensus/progress.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::consensus {

bool Progress::CanSendEntries(std::size_t max_inflight) const {
  return mode_ == Mode::kReplicate && inflight_.size() < max_inflight;
}

void Progress::NoteSentEntries(LogIndex last) {
  inflight_.push_back(last);
  next_ = last.Next();
}

bool Progress::TakeProbeDue() {
  return std::exchange(probe_due_, false);
}

void Progress::NoteAnswer(TimePoint sent_at) {
  has_answered_ = true;
  acked_sent_at_ = std::max(acked_sent_at_, sent_at);
}

void Progress::NoteAccepted(LogIndex match, TimePoint now) {
  while (!inflight_.empty() && inflight_.front() <= match) {
    inflight_.pop_front();
  }
  if (match > match_) {
    match_ = match;
    match_at_ = now;
  }
  next_ = std::max(next_, match_.Next());
  if (mode_ == Mode::kProbe) {
    mode_ = Mode::kReplicate;
    inflight_.clear();
    next_ = match_.Next();
  }
}

bool Progress::NoteRejected(LogIndex rejected_prev, LogIndex hint) {
  if (mode_ == Mode::kSnapshot || rejected_prev <= match_) {
    return false;
  }
  if (mode_ == Mode::kProbe && rejected_prev.Next() != next_) {
    return false;
  }
  mode_ = Mode::kProbe;
  inflight_.clear();
  probe_due_ = true;
  next_ = std::max(match_.Next(), std::min(rejected_prev, hint.Next()));
  return true;
}

bool Progress::ShowsRegression(LogIndex last_index, TimePoint sent_at) const {
  return last_index < match_ && sent_at > match_at_;
}

void Progress::BeginSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  mode_ = Mode::kSnapshot;
  inflight_.clear();
  snapshot_ = std::move(snapshot);
  snapshot_offset_ = 0;
  retry_at_ = TimePoint{};
}

bool Progress::CanSendSnapshotPart(TimePoint now) const {
  return mode_ == Mode::kSnapshot && now >= retry_at_;
}

void Progress::NoteSentSnapshotPart(TimePoint now, Duration retry_after) {
  retry_at_ = now + retry_after;
}

void Progress::NoteSnapshotOffset(std::uint64_t next_offset) {
  if (next_offset == snapshot_offset_) {
    return;
  }
  snapshot_offset_ = next_offset;
  retry_at_ = TimePoint{};
}

void Progress::NoteInstalled(LogIndex index, TimePoint now) {
  if (mode_ == Mode::kSnapshot) {
    mode_ = Mode::kProbe;
    snapshot_.reset();
  }
  NoteAccepted(index, now);
}

}  // namespace bilberryspool::consensus
