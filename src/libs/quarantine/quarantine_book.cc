#include "libs/quarantine/quarantine_book.h"

#include <algorithm>

namespace bilberryspool::quarantine {

namespace {

// More ends of one request add nothing to what is decided.
constexpr std::size_t kMostEndsKept = 16;
constexpr std::uint32_t kMostDoublings = 16;

}  // namespace

bool QuarantineBook::OnEnd(const EndObserved& end, TimePoint now) {
  const TimePoint at = now - end.age;
  if (entries_.count(end.request) == 0) {
    MakeRoom();
  }
  Entry& entry = entries_[end.request];
  const bool is_cleared = at < entry.cleared_until;
  if (is_cleared || entry.ends.size() >= kMostEndsKept) {
    return false;
  }
  const Verdict before = VerdictOf(entry, now);
  const std::uint32_t counted = CountEnds(entry);
  const auto [known, is_new] = entry.ends.try_emplace(end.run);
  if (is_new) {
    known->second.at = at;
  }
  const bool is_proof = end.had_leave && !known->second.had_leave;
  known->second.had_leave = known->second.had_leave || end.had_leave;
  if (CountEnds(entry) == counted && !is_proof) {
    // Kept, more ends of one cause would take the room of others.
    if (is_new) {
      entry.ends.erase(known);
    }
    return false;
  }
  if (counted == 0) {
    entry.first_end = at;
  }
  entry.service = end.service;
  entry.last_end = std::max(entry.last_end, at);
  if (IsProven(entry) && now >= entry.refused_until) {
    Refuse(entry, now);
  }
  ++revision_;
  return VerdictOf(entry, now) != before;
}

bool QuarantineBook::OnCompleted(const CompletionObserved& completion,
                                 TimePoint now) {
  const auto found = entries_.find(completion.request);
  return found != entries_.end() &&
         Clear(found->second, now - completion.age + options_.alibi, now);
}

bool QuarantineBook::OnReleased(const ReleaseOrdered& release, TimePoint now) {
  const auto found = entries_.find(release.request);
  return found != entries_.end() &&
         Clear(found->second, now - release.age, now);
}

bool QuarantineBook::Clear(Entry& entry, TimePoint until, TimePoint now) {
  const Verdict before = VerdictOf(entry, now);
  entry.cleared_until = std::max(entry.cleared_until, until);
  std::erase_if(entry.ends, [&](const auto& item) {
    return item.second.at < entry.cleared_until;
  });
  if (entry.last_end < entry.cleared_until) {
    entry.adopted_ends = 0;
    entry.refused_until = TimePoint{};
    entry.quarantines = 0;
    entry.asker.clear();
  }
  const bool is_changed = VerdictOf(entry, now) != before;
  revision_ += is_changed ? 1 : 0;
  return is_changed;
}

void QuarantineBook::OnTrialOver(const TrialOver& over) {
  const auto found = entries_.find(over.request);
  if (found != entries_.end() && found->second.asker == over.asker) {
    found->second.asker.clear();
  }
}

void QuarantineBook::Adopt(const QuarantineRecord& record, TimePoint now) {
  if (entries_.count(record.request) == 0) {
    MakeRoom();
  }
  Entry& entry = entries_[record.request];
  const TimePoint first = now - record.since;
  if (first < entry.cleared_until || record.ends <= CountEnds(entry)) {
    return;
  }
  entry.service = record.service;
  entry.first_end = first;
  entry.last_end = std::max(entry.last_end, first);
  entry.adopted_ends = record.ends;
  entry.refused_until = std::max(entry.refused_until, now + record.remaining);
  if (record.verdict == Verdict::kRefused) {
    entry.quarantines = std::max(entry.quarantines, 1U);
  }
  ++revision_;
}

void QuarantineBook::Tick(TimePoint now) {
  const std::size_t forgotten = std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool is_refused = now < entry.refused_until;
    const TimePoint last =
        std::max({entry.last_end, entry.refused_until, entry.cleared_until});
    return !is_refused && now - last > options_.memory;
  });
  if (forgotten > 0) {
    ++revision_;
  }
}

Verdict QuarantineBook::VerdictOf(const RequestFingerprint& request,
                                  TimePoint now) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? Verdict::kFree
                                 : VerdictOf(found->second, now);
}

bool QuarantineBook::TryTrial(const RequestFingerprint& request,
                              const std::string& asker,
                              TimePoint now) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return true;
  }
  Entry& entry = found->second;
  const Verdict verdict = VerdictOf(entry, now);
  if (verdict == Verdict::kFree) {
    return true;
  }
  const bool is_taken = !entry.asker.empty() && now < entry.trial_until;
  if (verdict == Verdict::kRefused || is_taken) {
    return false;
  }
  entry.asker = asker;
  entry.trial_until = now + options_.longest_trial;
  if (entry.quarantines > 0) {
    Refuse(entry, now);
    ++revision_;
  }
  return true;
}

std::optional<QuarantineRecord> QuarantineBook::RecordOf(
    const RequestFingerprint& request,
    TimePoint now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return ToRecord(request, found->second, now);
}

std::vector<QuarantineRecord> QuarantineBook::Told(TimePoint now) const {
  std::vector<QuarantineRecord> told;
  for (const auto& [request, entry] : entries_) {
    if (VerdictOf(entry, now) != Verdict::kFree) {
      told.push_back(ToRecord(request, entry, now));
    }
  }
  std::sort(told.begin(), told.end(), [](const auto& one, const auto& other) {
    if (one.verdict != other.verdict) {
      return one.verdict > other.verdict;
    }
    return one.since < other.since;
  });
  told.resize(std::min(told.size(), options_.max_told));
  return told;
}

std::vector<EndObserved> QuarantineBook::Ends(TimePoint now) const {
  std::vector<EndObserved> ends;
  for (const auto& [request, entry] : entries_) {
    for (const auto& [run, one] : entry.ends) {
      ends.push_back(
          {request, entry.service, run, one.had_leave, now - one.at});
    }
  }
  return ends;
}

std::optional<TimePoint> QuarantineBook::LastEndOf(
    const RequestFingerprint& request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.ends.empty()) {
    return std::nullopt;
  }
  return found->second.last_end;
}

// An only run counts for itself, others by cause.
std::uint32_t QuarantineBook::CountEnds(const Entry& entry) const {
  std::uint32_t count = 0;
  std::vector<TimePoint> moments;
  for (const auto& [run, end] : entry.ends) {
    if (end.had_leave) {
      ++count;
      continue;
    }
    moments.push_back(end.at);
  }
  std::sort(moments.begin(), moments.end());
  std::uint32_t of_one_cause = 0;
  TimePoint cause_began;
  for (const TimePoint at : moments) {
    if (of_one_cause == 0 || at - cause_began > options_.one_cause) {
      cause_began = at;
      of_one_cause = 0;
    }
    ++of_one_cause;
    count += of_one_cause <= options_.most_of_one_cause ? 1 : 0;
  }
  return std::max(count, entry.adopted_ends);
}

// Targets under a popular request may end again and again for other reasons;
// only runs that end their targets tell of the request.
bool QuarantineBook::IsProven(const Entry& entry) const {
  const auto proofs =
      std::count_if(entry.ends.begin(), entry.ends.end(),
                    [](const auto& item) { return item.second.had_leave; });
  return CountEnds(entry) >= options_.ends_to_refuse &&
         static_cast<std::uint32_t>(proofs) >= options_.proofs_to_refuse;
}

Verdict QuarantineBook::VerdictOf(const Entry& entry, TimePoint now) const {
  if (now < entry.refused_until) {
    return Verdict::kRefused;
  }
  return CountEnds(entry) > 0 ? Verdict::kOneAtATime : Verdict::kFree;
}

QuarantineRecord QuarantineBook::ToRecord(const RequestFingerprint& request,
                                          const Entry& entry,
                                          TimePoint now) const {
  QuarantineRecord record;
  record.request = request;
  record.service = entry.service;
  record.verdict = VerdictOf(entry, now);
  record.ends = CountEnds(entry);
  record.since = std::max(now - entry.first_end, Duration::zero());
  record.remaining = std::max(entry.refused_until - now, Duration::zero());
  return record;
}

void QuarantineBook::Refuse(Entry& entry, TimePoint now) {
  const std::uint32_t doublings = std::min(entry.quarantines, kMostDoublings);
  entry.refused_until =
      now + std::min(options_.first_quarantine * (1U << doublings),
                     options_.longest_quarantine);
  ++entry.quarantines;
}

void QuarantineBook::MakeRoom() {
  if (entries_.size() < options_.max_entries) {
    return;
  }
  const auto least = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& one, const auto& other) {
        const Entry& a = one.second;
        const Entry& b = other.second;
        return a.refused_until != b.refused_until
                   ? a.refused_until < b.refused_until
                   : a.last_end < b.last_end;
      });
  entries_.erase(least);
  ++revision_;
}

}  // namespace bilberryspool::quarantine
