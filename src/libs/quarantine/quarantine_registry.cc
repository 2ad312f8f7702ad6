#include "libs/quarantine/quarantine_registry.h"

#include <algorithm>

namespace bilberryspool::quarantine {

namespace {

// Further terminations of one request don't change any decision.
constexpr std::size_t kMaxTerminationsKept = 16;

}  // namespace

std::map<RequestFingerprint, Verdict> UrgentVerdicts(
    const std::vector<QuarantineRecord>& records) {
  std::map<RequestFingerprint, Verdict> verdicts;
  for (const QuarantineRecord& record : records) {
    if (record.terminations > 1 || record.verdict == Verdict::kRefused) {
      verdicts.emplace(record.request, record.verdict);
    }
  }
  return verdicts;
}

bool QuarantineRegistry::OnTermination(const TerminationObserved& end,
                                       TimePoint now) {
  const TimePoint at = now - end.age;
  Entry& entry = EntryOf(end.request);
  const bool is_cleared = at < entry.cleared_until;
  if (is_cleared || entry.terminations.size() >= kMaxTerminationsKept) {
    return false;
  }
  RecordTerminatedRun(end, at);
  ReviewUndecidedRefusals(now);
  const Verdict before = VerdictOf(entry, now);
  const std::uint32_t counted = CountTerminations(entry);
  const auto [known, is_new] = entry.terminations.try_emplace(end.run);
  if (is_new) {
    known->second.at = at;
  }
  const bool is_new_sole_run =
      end.was_permitted && !known->second.was_permitted;
  known->second.was_permitted =
      known->second.was_permitted || end.was_permitted;
  if (CountTerminations(entry) == counted && !is_new_sole_run) {
    // If kept, terminations of one cause would fill the limited space.
    if (is_new) {
      entry.terminations.erase(known);
    }
    return false;
  }
  if (counted == 0) {
    entry.first_termination = at;
  }
  entry.service = end.service;
  entry.last_termination = std::max(entry.last_termination, at);
  if (IsRefusalJustified(end.request, entry) &&
      !entry.refusal.is_decided(now)) {
    entry.refusal.Start(now + options_.decision_delay);
    undecided_refusals_.push_back(end.request);
  }
  ReviewOtherRequestsAt(end.run, end.request);
  ++revision_;
  return VerdictOf(entry, now) != before;
}

bool QuarantineRegistry::OnCompleted(const CompletionObserved& completion,
                                     TimePoint now) {
  const auto found = entries_.find(completion.request);
  return found != entries_.end() &&
         Clear(found->second,
               now - completion.age + options_.completion_grace_period, now);
}

bool QuarantineRegistry::OnReleased(const ReleaseOrdered& release,
                                    TimePoint now) {
  const auto found = entries_.find(release.request);
  return found != entries_.end() &&
         Clear(found->second, now - release.age, now);
}

bool QuarantineRegistry::Clear(Entry& entry, TimePoint until, TimePoint now) {
  const Verdict before = VerdictOf(entry, now);
  entry.cleared_until = std::max(entry.cleared_until, until);
  std::erase_if(entry.terminations, [&](const auto& item) {
    return item.second.at < entry.cleared_until;
  });
  if (entry.last_termination < entry.cleared_until) {
    entry.adopted_terminations = 0;
    entry.refusal.Clear();
  }
  const bool is_changed = VerdictOf(entry, now) != before;
  revision_ += is_changed ? 1 : 0;
  return is_changed;
}

void QuarantineRegistry::OnTrialOver(const TrialOver& over) {
  const auto found = entries_.find(over.request);
  if (found != entries_.end()) {
    found->second.refusal.EndTrial(over.requester);
  }
}

void QuarantineRegistry::Adopt(const QuarantineRecord& record, TimePoint now) {
  Entry& entry = EntryOf(record.request);
  const TimePoint first = now - record.since;
  if (first < entry.cleared_until ||
      record.terminations <= CountTerminations(entry)) {
    return;
  }
  entry.service = record.service;
  entry.first_termination = first;
  entry.last_termination = std::max(entry.last_termination, first);
  entry.adopted_terminations = record.terminations;
  entry.refusal.Extend(now + record.remaining,
                       record.verdict == Verdict::kRefused);
  ++revision_;
}

std::vector<RequestFingerprint> QuarantineRegistry::Tick(TimePoint now) {
  std::vector<RequestFingerprint> refused;
  for (auto& [request, entry] : entries_) {
    if (entry.refusal.TakeNews(now)) {
      refused.push_back(request);
      ++revision_;
    }
  }
  const std::size_t erased = std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const TimePoint last = std::max(
        {entry.last_termination, entry.refusal.until(), entry.cleared_until});
    return !entry.refusal.is_decided(now) && now - last > options_.retention;
  });
  if (erased > 0) {
    ++revision_;
  }
  return refused;
}

Verdict QuarantineRegistry::VerdictOf(const RequestFingerprint& request,
                                      TimePoint now) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? Verdict::kFree
                                 : VerdictOf(found->second, now);
}

bool QuarantineRegistry::TryTrial(const RequestFingerprint& request,
                                  const std::string& requester,
                                  TimePoint now) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return true;
  }
  Entry& entry = found->second;
  if (VerdictOf(entry, now) == Verdict::kFree) {
    return true;
  }
  if (!entry.refusal.TryTrial(requester, now)) {
    return false;
  }
  revision_ += entry.refusal.count() > 0 ? 1 : 0;
  return true;
}

std::optional<QuarantineRecord> QuarantineRegistry::RecordOf(
    const RequestFingerprint& request,
    TimePoint now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return ToRecord(request, found->second, now);
}

std::vector<QuarantineRecord> QuarantineRegistry::RecordsToReport(
    TimePoint now) const {
  std::vector<QuarantineRecord> reported;
  for (const auto& [request, entry] : entries_) {
    if (VerdictOf(entry, now) != Verdict::kFree) {
      reported.push_back(ToRecord(request, entry, now));
    }
  }
  std::sort(reported.begin(), reported.end(),
            [](const auto& one, const auto& other) {
              if (one.verdict != other.verdict) {
                return one.verdict > other.verdict;
              }
              if (one.terminations != other.terminations) {
                return one.terminations > other.terminations;
              }
              return one.since < other.since;
            });
  const auto refused = static_cast<std::size_t>(std::count_if(
      reported.begin(), reported.end(), [](const QuarantineRecord& record) {
        return record.verdict == Verdict::kRefused;
      }));
  const std::size_t most = std::min(
      options_.max_reported, refused + options_.max_reported_not_refused);
  reported.resize(std::min(reported.size(), most));
  return reported;
}

std::vector<TerminationObserved> QuarantineRegistry::Terminations(
    TimePoint now) const {
  std::vector<TerminationObserved> terminations;
  for (const auto& [request, entry] : entries_) {
    for (const auto& [run, one] : entry.terminations) {
      terminations.push_back(
          {request, {}, entry.service, run, one.was_permitted, now - one.at});
    }
  }
  return terminations;
}

std::optional<TimePoint> QuarantineRegistry::LastTerminationOf(
    const RequestFingerprint& request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.terminations.empty()) {
    return std::nullopt;
  }
  return found->second.last_termination;
}

// A sole run counts individually; other runs are counted up to a maximum per
// window of common cause.
std::uint32_t QuarantineRegistry::CountTerminations(const Entry& entry) const {
  std::uint32_t count = 0;
  std::vector<TimePoint> moments;
  for (const auto& [run, end] : entry.terminations) {
    if (end.was_permitted) {
      ++count;
      continue;
    }
    moments.push_back(end.at);
  }
  std::sort(moments.begin(), moments.end());
  std::uint32_t number_in_window = 0;
  TimePoint window_start;
  for (const TimePoint at : moments) {
    if (number_in_window == 0 ||
        at - window_start > options_.common_cause_window) {
      window_start = at;
      number_in_window = 0;
    }
    ++number_in_window;
    count += number_in_window <= options_.max_counted_per_cause ? 1 : 0;
  }
  return std::max(count, entry.adopted_terminations);
}

// Targets that run a popular request may terminate again and again for other
// reasons. Only terminations of its sole runs are evidence against the request.
bool QuarantineRegistry::IsRefusalJustified(const RequestFingerprint& request,
                                            const Entry& entry) const {
  const std::uint32_t terminations = CountTerminations(entry);
  std::uint32_t sole_run_terminations = 0;
  std::uint32_t with_many_concurrent = 0;
  for (const auto& [run, end] : entry.terminations) {
    if (!end.was_permitted || HasLikelierCause(run, request, terminations)) {
      continue;
    }
    ++sole_run_terminations;
    with_many_concurrent += HadManyConcurrentTerminations(run, request) ? 1 : 0;
  }
  return terminations >= options_.terminations_to_refuse &&
         (sole_run_terminations - with_many_concurrent >=
              options_.sole_run_terminations_to_refuse ||
          sole_run_terminations >=
              options_.sole_run_terminations_to_refuse_if_many);
}

bool QuarantineRegistry::HasLikelierCause(const TargetRun& run,
                                          const RequestFingerprint& request,
                                          std::uint32_t terminations) const {
  const auto there = terminated_targets_.find(run);
  if (there == terminated_targets_.end()) {
    return false;
  }
  const std::set<RequestFingerprint>& requests = there->second.requests;
  return std::any_of(requests.begin(), requests.end(),
                     [&](const RequestFingerprint& other) {
                       const auto found = entries_.find(other);
                       return other != request && found != entries_.end() &&
                              CountTerminations(found->second) >= terminations;
                     });
}

bool QuarantineRegistry::HadManyConcurrentTerminations(
    const TargetRun& run,
    const RequestFingerprint& request) const {
  const auto ended = terminated_targets_.find(run);
  if (ended == terminated_targets_.end()) {
    return false;
  }
  const TimePoint at = ended->second.at;
  const auto others =
      std::count_if(terminated_targets_.begin(), terminated_targets_.end(),
                    [&](const auto& item) {
                      const TerminatedTarget& other = item.second;
                      const bool is_concurrent =
                          other.at > at - options_.common_cause_window &&
                          other.at < at + options_.common_cause_window;
                      return is_concurrent && !other.had_sole_run &&
                             other.requests.count(request) == 0;
                    });
  return static_cast<std::uint32_t>(others) >=
         options_.many_concurrent_terminations;
}

void QuarantineRegistry::RecordTerminatedRun(const TerminationObserved& end,
                                             TimePoint at) {
  const auto [there, is_new] = terminated_targets_.try_emplace(end.run);
  TerminatedTarget& target = there->second;
  target.requests.insert(end.request);
  target.had_sole_run = target.had_sole_run || end.was_permitted;
  if (!is_new) {
    return;
  }
  target.at = at;
  terminated_runs_by_age_.push_back(end.run);
  if (terminated_runs_by_age_.size() > options_.max_terminated_runs) {
    terminated_targets_.erase(terminated_runs_by_age_.front());
    terminated_runs_by_age_.pop_front();
  }
}

void QuarantineRegistry::ReviewOtherRequestsAt(
    const TargetRun& run,
    const RequestFingerprint& request) {
  for (const RequestFingerprint& other : terminated_targets_[run].requests) {
    const auto found = entries_.find(other);
    if (other == request || found == entries_.end()) {
      continue;
    }
    Entry& entry = found->second;
    const bool is_first_refusal = entry.refusal.count() == 1;
    if (is_first_refusal && entry.adopted_terminations == 0 &&
        !IsRefusalJustified(other, entry)) {
      entry.refusal.Withdraw();
    }
  }
}

void QuarantineRegistry::ReviewUndecidedRefusals(TimePoint now) {
  std::erase_if(undecided_refusals_, [&](const RequestFingerprint& request) {
    const auto found = entries_.find(request);
    if (found == entries_.end() || now >= found->second.refusal.from()) {
      return true;
    }
    Entry& entry = found->second;
    const bool is_still_justified = entry.refusal.count() != 1 ||
                                    entry.adopted_terminations > 0 ||
                                    IsRefusalJustified(request, entry);
    if (!is_still_justified) {
      entry.refusal.Withdraw();
    }
    return !is_still_justified;
  });
}

Verdict QuarantineRegistry::VerdictOf(const Entry& entry, TimePoint now) const {
  if (entry.refusal.is_in_force(now)) {
    return Verdict::kRefused;
  }
  return CountTerminations(entry) > 0 ? Verdict::kOneAtATime : Verdict::kFree;
}

QuarantineRecord QuarantineRegistry::ToRecord(const RequestFingerprint& request,
                                              const Entry& entry,
                                              TimePoint now) const {
  QuarantineRecord record;
  record.request = request;
  record.service = entry.service;
  record.verdict = VerdictOf(entry, now);
  record.terminations = CountTerminations(entry);
  record.since = std::max(now - entry.first_termination, Duration::zero());
  record.remaining = std::max(entry.refusal.until() - now, Duration::zero());
  return record;
}

QuarantineRegistry::Entry& QuarantineRegistry::EntryOf(
    const RequestFingerprint& request) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    return found->second;
  }
  MakeRoom();
  return entries_.emplace(request, Entry(options_.refusal)).first->second;
}

void QuarantineRegistry::MakeRoom() {
  if (entries_.size() < options_.max_entries) {
    return;
  }
  const auto least = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& one, const auto& other) {
        const Entry& a = one.second;
        const Entry& b = other.second;
        return a.refusal.until() != b.refusal.until()
                   ? a.refusal.until() < b.refusal.until()
                   : a.last_termination < b.last_termination;
      });
  entries_.erase(least);
  ++revision_;
}

}  // namespace bilberryspool::quarantine
