#include "libs/storage/log_replay.h"

namespace bilberryspool::storage {

bool LogReplay::Add(const LogRecord& record) {
  if (record.hard_state) {
    if (record.hard_state->term < hard_state_.term) {
      return false;
    }
    hard_state_ = *record.hard_state;
  }
  if (record.reset_to) {
    entries_.clear();
    expected_ = record.reset_to->Next();
  }
  if (record.truncate_from) {
    std::erase_if(entries_, [&](const consensus::LogEntry& entry) {
      return entry.index >= *record.truncate_from;
    });
    if (entries_.empty()) {
      expected_ = *record.truncate_from;
    }
  }
  for (const consensus::LogEntry& entry : record.entries) {
    if (!entries_.empty()) {
      expected_ = entries_.back().index.Next();
    }
    if (expected_ && entry.index != *expected_) {
      return false;
    }
    entries_.push_back(entry);
  }
  return true;
}

const consensus::LogEntry* LogReplay::Find(LogIndex index) const {
  for (const consensus::LogEntry& entry : entries_) {
    if (entry.index == index) {
      return &entry;
    }
  }
  return nullptr;
}

bool LogReplay::AlignWithSnapshot(const consensus::Snapshot* snapshot,
                                  bool& must_reset) {
  must_reset = false;
  const LogIndex base = snapshot != nullptr ? snapshot->index : LogIndex(0);
  if (entries_.empty()) {
    return !expected_ || *expected_ <= base.Next();
  }
  if (entries_.front().index > base.Next()) {
    return false;
  }
  const consensus::LogEntry* at_base = Find(base);
  const bool connects_to_snapshot =
      entries_.front().index == base.Next() ||
      (at_base != nullptr && at_base->term == snapshot->term);
  if (!connects_to_snapshot) {
    must_reset = true;
    entries_.clear();
    return true;
  }
  std::erase_if(entries_, [&](const consensus::LogEntry& entry) {
    return entry.index <= base;
  });
  return true;
}

}  // namespace bilberryspool::storage
