#include "libs/consensus/log_view.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::consensus {

LogView::LogView(std::shared_ptr<const Snapshot> snapshot,
                 std::vector<LogEntry> entries) {
  memberships_[LogIndex(0)] = Membership{};
  if (snapshot != nullptr) {
    Install(std::move(snapshot));
  }
  for (LogEntry& entry : entries) {
    if (entry.index <= base_index_) {
      continue;
    }
    Append(std::move(entry));
  }
  durable_index_ = last_index();
}

LogIndex LogView::last_index() const {
  return LogIndex(base_index_.value() + entries_.size());
}

Term LogView::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::size_t LogView::OffsetOf(LogIndex index) const {
  return static_cast<std::size_t>(index.value() - base_index_.value() - 1);
}

std::optional<Term> LogView::TermAt(LogIndex index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return entries_[OffsetOf(index)].term;
}

std::vector<LogEntry> LogView::EntriesFrom(LogIndex from,
                                           std::size_t max_bytes) const {
  std::vector<LogEntry> batch;
  std::size_t bytes = 0;
  for (std::size_t i = OffsetOf(from); i < entries_.size(); ++i) {
    bytes += SizeOf(entries_[i]);
    if (!batch.empty() && bytes > max_bytes) {
      break;
    }
    batch.push_back(entries_[i]);
  }
  return batch;
}

std::vector<LogEntry> LogView::EntriesBetween(LogIndex from,
                                              LogIndex to) const {
  BILBERRYSPOOL_INVARIANT(from > base_index_ && to <= last_index(),
                          "the requested entries are in the log");
  std::vector<LogEntry> found;
  for (std::size_t i = OffsetOf(from); i <= OffsetOf(to); ++i) {
    found.push_back(entries_[i]);
  }
  return found;
}

void LogView::Append(LogEntry entry) {
  BILBERRYSPOOL_INVARIANT(entry.index == last_index().Next(),
                          "the log has no gaps");
  BILBERRYSPOOL_INVARIANT(entry.term >= last_term(),
                          "terms never decrease along the log");
  if (const auto* membership = std::get_if<Membership>(&entry.payload)) {
    memberships_[entry.index] = *membership;
  }
  entries_.push_back(std::move(entry));
}

void LogView::TruncateFrom(LogIndex from) {
  BILBERRYSPOOL_INVARIANT(from > base_index_,
                          "compacted entries are never truncated");
  if (from > last_index()) {
    return;
  }
  entries_.resize(OffsetOf(from));
  memberships_.erase(memberships_.lower_bound(from), memberships_.end());
  durable_index_ = std::min(durable_index_, last_index());
  for (PendingSync& pending : pending_syncs_) {
    pending.last_index = std::min(pending.last_index, last_index());
  }
}

void LogView::Compact(LogIndex through) {
  if (through <= base_index_) {
    return;
  }
  const Term term = TermAt(through).value();
  const Membership membership = MembershipAt(through);
  entries_.erase(
      entries_.begin(),
      entries_.begin() + static_cast<std::ptrdiff_t>(OffsetOf(through) + 1));
  base_index_ = through;
  base_term_ = term;
  memberships_.erase(memberships_.begin(), memberships_.upper_bound(through));
  memberships_[through] = membership;
}

bool LogView::Install(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  if (TermAt(snapshot_->index) == snapshot_->term) {
    Compact(snapshot_->index);
    return false;
  }
  entries_.clear();
  pending_syncs_.clear();
  base_index_ = snapshot_->index;
  base_term_ = snapshot_->term;
  memberships_.clear();
  memberships_[base_index_] = snapshot_->membership;
  durable_index_ = LogIndex(0);
  return true;
}

void LogView::set_snapshot(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

const Membership& LogView::membership() const {
  return memberships_.rbegin()->second;
}

LogIndex LogView::membership_index() const {
  return memberships_.rbegin()->first;
}

const Membership& LogView::MembershipAt(LogIndex index) const {
  const auto after = memberships_.upper_bound(index);
  BILBERRYSPOOL_INVARIANT(after != memberships_.begin(),
                          "a membership is known for every retained entry");
  return std::prev(after)->second;
}

void LogView::ExpectDurable(PersistTicket ticket) {
  pending_syncs_.push_back({ticket, last_index()});
}

void LogView::MarkDurable(PersistTicket ticket) {
  while (!pending_syncs_.empty() && pending_syncs_.front().ticket <= ticket) {
    durable_index_ =
        std::max(durable_index_, pending_syncs_.front().last_index);
    pending_syncs_.pop_front();
  }
}

}  // namespace bilberryspool::consensus
