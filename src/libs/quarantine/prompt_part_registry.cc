#include "libs/quarantine/prompt_part_registry.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::quarantine {

namespace {

// Only the latest terminations of a part are kept.
constexpr std::size_t kMaxEndsKept = 16;
constexpr std::size_t kMaxCarriersKept = 16;
// Bounds what is remembered of one target.
constexpr std::size_t kMaxPartsPerRun = 256;
constexpr std::size_t kMaxRequestsPerRun = 64;
// With fewer requests at a target it is not known what most of them have.
constexpr std::size_t kMinRequestsToCompare = 4;

}  // namespace

void PromptPartRegistry::OnTermination(const TerminationObserved& end,
                                       TimePoint now) {
  const TimePoint at = now - end.age;
  RecordRun(end, at);
  Entry& entry = EntryOf(end.request);
  const bool is_known = entry.ends.count(end.run) > 0;
  if (at < entry.cleared_until) {
    return;
  }
  if (!is_known && entry.ends.size() >= kMaxEndsKept) {
    entry.ends.erase(std::min_element(entry.ends.begin(), entry.ends.end(),
                                      [](const auto& one, const auto& other) {
                                        return one.second.at < other.second.at;
                                      }));
  }
  End& known = entry.ends[end.run];
  if (!is_known) {
    known.at = at;
  }
  if (known.carriers.size() < kMaxCarriersKept) {
    known.carriers.insert(end.carrier);
  }
  if (entry.ends.size() == 1 && !is_known) {
    entry.first_termination = at;
  }
  entry.service = end.service;
  entry.last_termination = std::max(entry.last_termination, at);
  if (!entry.judged_at.has_value()) {
    entry.judged_at = now + DecisionDelay(entry, now);
  }
  if (IsSuspect(entry) && !entry.suspect_since.has_value()) {
    entry.suspect_since = now;
  }
  ++revision_;
}

bool PromptPartRegistry::OnAnswered(const CompletionObserved& completion,
                                    TimePoint now) {
  const auto found = entries_.find(completion.request);
  if (found == entries_.end()) {
    return false;
  }
  Entry& entry = found->second;
  const TimePoint at = now - completion.age;
  entry.last_answer = std::max(entry.last_answer.value_or(at), at);
  return Clear(entry, at + options_.answer_grace_period, now);
}

bool PromptPartRegistry::OnReleased(const ReleaseOrdered& release,
                                    TimePoint now) {
  const auto found = entries_.find(release.request);
  return found != entries_.end() &&
         Clear(found->second, now - release.age, now);
}

bool PromptPartRegistry::Clear(Entry& entry, TimePoint until, TimePoint now) {
  const Verdict before = VerdictOf(entry, now);
  entry.cleared_until = std::max(entry.cleared_until, until);
  const std::size_t erased = std::erase_if(entry.ends, [&](const auto& item) {
    return item.second.at < entry.cleared_until;
  });
  if (!IsSuspect(entry)) {
    entry.suspect_since.reset();
  }
  if (erased > 0) {
    entry.counted = 0;
    entry.judged_at = now;
  }
  if (entry.last_termination < entry.cleared_until) {
    entry.adopted_terminations = 0;
    entry.refusal.Clear();
  }
  const bool is_changed = VerdictOf(entry, now) != before;
  revision_ += is_changed || erased > 0 ? 1 : 0;
  return is_changed;
}

void PromptPartRegistry::OnTrialOver(const TrialOver& over) {
  const auto found = entries_.find(over.request);
  if (found != entries_.end()) {
    found->second.refusal.EndTrial(over.requester);
  }
}

void PromptPartRegistry::Adopt(const QuarantineRecord& record, TimePoint now) {
  // Of the terminations of a part that is not refused, gateways report more
  // than a record holds.
  if (record.verdict == Verdict::kFree) {
    return;
  }
  Entry& entry = EntryOf(record.request);
  const TimePoint first = now - record.since;
  if (first < entry.cleared_until) {
    return;
  }
  entry.service = record.service;
  entry.first_termination = first;
  entry.last_termination = std::max(entry.last_termination, first);
  entry.adopted_terminations =
      std::max(entry.adopted_terminations, record.terminations);
  entry.refusal.Extend(now + record.remaining, true);
  ++revision_;
}

std::vector<RequestFingerprint> PromptPartRegistry::Judge(TimePoint now) {
  std::vector<RequestFingerprint> due;
  std::vector<RequestFingerprint> refused;
  for (auto& [part, entry] : entries_) {
    if (entry.judged_at.has_value() && now >= *entry.judged_at) {
      entry.judged_at.reset();
      entry.counted = CountTerminations(part, entry);
      due.push_back(part);
    }
    if (entry.refusal.TakeNews(now)) {
      refused.push_back(part);
      ++revision_;
    }
  }
  for (const RequestFingerprint& part : due) {
    Entry& entry = entries_.at(part);
    if (!entry.refusal.is_decided(now) && IsRefusalJustified(part, entry)) {
      Refuse(part, entry, now);
      refused.push_back(part);
    }
  }
  EraseOld(now);
  return refused;
}

bool PromptPartRegistry::IsSuspect(const Entry& entry) const {
  return entry.ends.size() + 1 >= options_.terminations_to_refuse;
}

Duration PromptPartRegistry::DecisionDelay(const Entry& entry,
                                           TimePoint now) const {
  const bool is_known =
      entry.suspect_since.has_value() &&
      now - *entry.suspect_since >= options_.known_suspect_time;
  return is_known ? options_.short_decision_delay : options_.decision_delay;
}

void PromptPartRegistry::Refuse(const RequestFingerprint& part,
                                Entry& entry,
                                TimePoint now) {
  entry.refusal.Start(now);
  entry.refusal.TakeNews(now);
  ++revision_;
  // What it explains no longer hides other parts.
  for (const auto& [run, terminated] : runs_) {
    if (terminated.parts.count(part) > 0) {
      continue;
    }
    for (const RequestFingerprint& other : terminated.parts) {
      const auto found = entries_.find(other);
      if (found != entries_.end() && !found->second.judged_at.has_value()) {
        found->second.judged_at = now;
      }
    }
  }
}

void PromptPartRegistry::EraseOld(TimePoint now) {
  const std::size_t erased = std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const TimePoint last = std::max(
        {entry.last_termination, entry.refusal.until(), entry.cleared_until});
    return !entry.refusal.is_decided(now) && now - last > options_.retention;
  });
  revision_ += erased > 0 ? 1 : 0;
}

Verdict PromptPartRegistry::VerdictOf(const RequestFingerprint& part,
                                      TimePoint now) const {
  const auto found = entries_.find(part);
  return found == entries_.end() ? Verdict::kFree
                                 : VerdictOf(found->second, now);
}

Verdict PromptPartRegistry::VerdictOf(const Entry& entry, TimePoint now) const {
  if (entry.refusal.is_in_force(now)) {
    return Verdict::kRefused;
  }
  return entry.refusal.count() > 0 ? Verdict::kOneAtATime : Verdict::kFree;
}

bool PromptPartRegistry::TryTrial(const RequestFingerprint& part,
                                  const std::string& requester,
                                  TimePoint now) {
  const auto found = entries_.find(part);
  if (found == entries_.end() ||
      VerdictOf(found->second, now) == Verdict::kFree) {
    return true;
  }
  const bool is_allowed = found->second.refusal.TryTrial(requester, now);
  revision_ += is_allowed ? 1 : 0;
  return is_allowed;
}

std::optional<QuarantineRecord> PromptPartRegistry::RecordOf(
    const RequestFingerprint& part,
    TimePoint now) const {
  const auto found = entries_.find(part);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return ToRecord(part, found->second, now);
}

std::vector<QuarantineRecord> PromptPartRegistry::RecordsToReport(
    TimePoint now) const {
  std::vector<QuarantineRecord> refused;
  std::vector<QuarantineRecord> others;
  for (const auto& [part, entry] : entries_) {
    const Verdict verdict = VerdictOf(entry, now);
    if (verdict == Verdict::kRefused) {
      refused.push_back(ToRecord(part, entry, now));
    } else if (verdict == Verdict::kOneAtATime || IsSuspect(entry)) {
      others.push_back(ToRecord(part, entry, now));
    }
  }
  const auto keep_most = [](std::vector<QuarantineRecord>& records,
                            std::size_t most) {
    std::sort(records.begin(), records.end(),
              [](const auto& one, const auto& other) {
                return one.terminations != other.terminations
                           ? one.terminations > other.terminations
                           : one.since < other.since;
              });
    records.resize(std::min(records.size(), most));
  };
  keep_most(refused, options_.max_reported_refused);
  keep_most(others, options_.max_reported_not_refused);
  refused.insert(refused.end(), others.begin(), others.end());
  return refused;
}

std::vector<TerminationObserved> PromptPartRegistry::Terminations(
    TimePoint now) const {
  std::vector<TerminationObserved> terminations;
  for (const auto& [part, entry] : entries_) {
    for (const auto& [run, end] : entry.ends) {
      if (now - end.at > options_.max_reported_age) {
        continue;
      }
      for (const RequestFingerprint& carrier : end.carriers) {
        terminations.push_back(
            {part, carrier, entry.service, run, false, now - end.at});
      }
    }
  }
  return terminations;
}

void PromptPartRegistry::RecordRun(const TerminationObserved& end,
                                   TimePoint at) {
  const auto [known, is_new] = runs_.try_emplace(end.run);
  if (known->second.parts.size() < kMaxPartsPerRun) {
    known->second.parts.insert(end.request);
  }
  if (known->second.requests.size() < kMaxRequestsPerRun) {
    known->second.requests.insert(end.carrier);
  }
  if (!is_new) {
    return;
  }
  known->second.at = at;
  runs_by_time_.emplace(at, end.run);
  if (runs_by_time_.size() > options_.max_terminated_runs) {
    runs_.erase(runs_by_time_.begin()->second);
    runs_by_time_.erase(runs_by_time_.begin());
  }
}

bool PromptPartRegistry::IsExplained(const TargetRun& run,
                                     const RequestFingerprint& part) const {
  const auto there = runs_.find(run);
  return there != runs_.end() &&
         std::any_of(there->second.parts.begin(), there->second.parts.end(),
                     [&](const RequestFingerprint& other) {
                       const auto found = entries_.find(other);
                       return other != part && found != entries_.end() &&
                              found->second.refusal.count() > 0;
                     });
}

bool PromptPartRegistry::IsCommonAt(const TargetRun& run,
                                    const End& end) const {
  const auto there = runs_.find(run);
  if (there == runs_.end()) {
    return false;
  }
  const std::size_t requests = there->second.requests.size();
  return requests >= kMinRequestsToCompare &&
         2 * end.carriers.size() > requests;
}

PromptPartRegistry::Moment PromptPartRegistry::MomentOf(
    const RequestFingerprint& part,
    TimePoint at) const {
  Moment moment;
  const auto last = runs_by_time_.upper_bound(at + options_.same_moment);
  for (auto it = runs_by_time_.lower_bound(at - options_.same_moment);
       it != last; ++it) {
    if (IsExplained(it->second, part)) {
      continue;
    }
    ++moment.runs;
    moment.runs_with_part += runs_.at(it->second).parts.count(part);
  }
  return moment;
}

std::uint32_t PromptPartRegistry::CountTerminations(
    const RequestFingerprint& part,
    const Entry& entry) const {
  std::vector<const End*> ends;
  for (const auto& [run, end] : entry.ends) {
    if (!IsExplained(run, part) && !IsCommonAt(run, end)) {
      ends.push_back(&end);
    }
  }
  std::sort(ends.begin(), ends.end(), [](const End* one, const End* other) {
    return one->at < other->at;
  });
  std::uint32_t count = 0;
  std::uint32_t number_in_window = 0;
  TimePoint window_start;
  for (const End* end : ends) {
    const Moment moment = MomentOf(part, end->at);
    if (!moment.is_part_at_most()) {
      continue;
    }
    if (number_in_window == 0 ||
        end->at - window_start > options_.common_cause_window) {
      window_start = end->at;
      number_in_window = 0;
    }
    ++number_in_window;
    const bool was_answered =
        entry.last_answer.has_value() &&
        end->at - *entry.last_answer < options_.answer_memory;
    const bool is_herd = moment.runs >= options_.many_per_cause;
    const std::uint32_t most =
        is_herd && was_answered ? 1 : options_.max_counted_per_cause;
    const bool is_counted =
        number_in_window <= most ||
        (number_in_window == options_.many_per_cause && !was_answered);
    count += is_counted ? 1 : 0;
  }
  return count;
}

bool PromptPartRegistry::IsAmongOthers(const RequestFingerprint& part,
                                       const Entry& entry) const {
  return std::any_of(entry.ends.begin(), entry.ends.end(),
                     [&](const auto& item) {
                       return !IsExplained(item.first, part) &&
                              !MomentOf(part, item.second.at).is_part_at_most();
                     });
}

bool PromptPartRegistry::IsOneRequestToBlame(const RequestFingerprint& part,
                                             const Entry& entry) const {
  std::map<RequestFingerprint, std::size_t> runs_of;
  std::size_t runs = 0;
  for (const auto& [run, end] : entry.ends) {
    if (IsExplained(run, part)) {
      continue;
    }
    ++runs;
    for (const RequestFingerprint& carrier : end.carriers) {
      ++runs_of[carrier];
    }
  }
  return std::any_of(runs_of.begin(), runs_of.end(),
                     [&](const auto& item) { return item.second == runs; });
}

std::uint32_t PromptPartRegistry::CountOf(const Entry& entry) {
  return std::max(entry.counted, entry.adopted_terminations);
}

std::uint32_t PromptPartRegistry::CountBlamed(const RequestFingerprint& part,
                                              const Entry& entry) const {
  const std::uint32_t own = CountOf(entry);
  const bool is_tie_allowed = own >= options_.terminations_to_refuse_tied;
  const auto is_likelier = [&](const RequestFingerprint& other) {
    const auto found = entries_.find(other);
    if (other == part || found == entries_.end()) {
      return false;
    }
    const std::uint32_t others =
        std::max(CountTerminations(other, found->second),
                 found->second.adopted_terminations);
    return others > own || (others == own && !is_tie_allowed);
  };
  std::uint32_t blamed = 0;
  for (const auto& [run, end] : entry.ends) {
    if (IsExplained(run, part)) {
      continue;
    }
    const auto there = runs_.find(run);
    blamed += there == runs_.end() ||
                      std::none_of(there->second.parts.begin(),
                                   there->second.parts.end(), is_likelier)
                  ? 1
                  : 0;
  }
  return blamed;
}

bool PromptPartRegistry::IsRefusalJustified(const RequestFingerprint& part,
                                            const Entry& entry) const {
  const std::uint32_t needed =
      IsAmongOthers(part, entry) ? options_.terminations_to_refuse_among_others
                                 : options_.terminations_to_refuse;
  return CountOf(entry) >= needed && !IsOneRequestToBlame(part, entry) &&
         CountBlamed(part, entry) >= options_.terminations_to_refuse;
}

QuarantineRecord PromptPartRegistry::ToRecord(const RequestFingerprint& part,
                                              const Entry& entry,
                                              TimePoint now) const {
  QuarantineRecord record;
  record.request = part;
  record.service = entry.service;
  record.verdict = VerdictOf(entry, now);
  // Of a part that is only suspect, all are named.
  record.terminations = entry.refusal.count() > 0
                            ? CountOf(entry)
                            : static_cast<std::uint32_t>(entry.ends.size());
  record.since = std::max(now - entry.first_termination, Duration::zero());
  record.remaining = std::max(entry.refusal.until() - now, Duration::zero());
  return record;
}

PromptPartRegistry::Entry& PromptPartRegistry::EntryOf(
    const RequestFingerprint& part) {
  const auto found = entries_.find(part);
  if (found != entries_.end()) {
    return found->second;
  }
  if (entries_.size() >= options_.max_entries) {
    entries_.erase(
        std::min_element(entries_.begin(), entries_.end(),
                         [](const auto& one, const auto& other) {
                           const Entry& a = one.second;
                           const Entry& b = other.second;
                           return a.refusal.until() != b.refusal.until()
                                      ? a.refusal.until() < b.refusal.until()
                                      : a.last_termination < b.last_termination;
                         }));
    ++revision_;
  }
  return entries_.emplace(part, Entry(options_.refusal)).first->second;
}

}  // namespace bilberryspool::quarantine
