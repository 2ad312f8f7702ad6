#include "libs/quarantine/quarantine_view.h"

#include <algorithm>

namespace bilberryspool::quarantine {

std::vector<CompletionObserved> QuarantineView::Adopt(
    const std::string& source,
    const std::vector<QuarantineRecord>& records,
    bool is_whole,
    TimePoint now) {
  Source& reported = sources_[source];
  if (is_whole) {
    reported.records.clear();
  }
  std::vector<CompletionObserved> clearing;
  for (const QuarantineRecord& record : records) {
    reported.records.insert_or_assign(record.request,
                                      ReportedRecord{record, now});
    if (IsInCompletionGracePeriod(record.request, now)) {
      clearing.push_back(
          {record.request, now - *completions_.Find(record.request)});
    }
  }
  return clearing;
}

void QuarantineView::SetReachable(const std::string& source,
                                  bool is_reachable) {
  sources_[source].is_reachable = is_reachable;
}

bool QuarantineView::OnCompleted(const RequestFingerprint& request,
                                 TimePoint now) {
  completions_.Note(request, now);
  const bool is_held =
      own_.OnCompleted({request, Duration::zero()}, now) ||
      std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
        return item.second.records.count(request) > 0;
      });
  return is_held;
}

Judgement QuarantineView::Judge(const RequestFingerprint& request,
                                TimePoint now) const {
  Judgement strictest;
  if (IsInCompletionGracePeriod(request, now)) {
    return strictest;
  }
  const bool is_connected = any_reachable();
  for (const auto& [name, source] : sources_) {
    const auto found = source.records.find(request);
    if (found == source.records.end() ||
        (is_connected && !source.is_reachable)) {
      continue;
    }
    const QuarantineRecord& record = found->second.record;
    const Duration age = now - found->second.at;
    Judgement one{record.verdict,
                  record.terminations,
                  record.since + age,
                  record.remaining,
                  name,
                  age};
    if (one.verdict == Verdict::kRefused && one.remaining <= age) {
      one.verdict = Verdict::kOneAtATime;
    }
    one.remaining = std::max(one.remaining - age, Duration::zero());
    if (one.verdict > strictest.verdict) {
      strictest = one;
    }
  }
  const auto own_end = own_.LastTerminationOf(request);
  const bool does_own_count =
      own_end.has_value() &&
      (!is_connected || now - *own_end < options_.own_observation_lifetime);
  const auto own = own_.RecordOf(request, now);
  if (!does_own_count || !own.has_value()) {
    return strictest;
  }
  // Control nodes know of completions at other gateways, so they decide on
  // refusals.
  const Verdict verdict = is_connected
                              ? std::min(own->verdict, Verdict::kOneAtATime)
                              : own->verdict;
  if (verdict > strictest.verdict) {
    strictest = {verdict, own->terminations, own->since, own->remaining, "",
                 {}};
  }
  return strictest;
}

std::vector<Observation> QuarantineView::OwnTerminationsOf(
    const RequestFingerprint& request,
    TimePoint now) const {
  std::vector<Observation> terminations;
  for (const TerminationObserved& end : own_.Terminations(now)) {
    if (end.request == request) {
      terminations.emplace_back(end);
    }
  }
  return terminations;
}

bool QuarantineView::IsInCompletionGracePeriod(
    const RequestFingerprint& request,
    TimePoint now) const {
  const auto completed = completions_.Find(request);
  return completed.has_value() &&
         now - *completed < options_.own.completion_grace_period;
}

bool QuarantineView::any_reachable() const {
  return std::any_of(sources_.begin(), sources_.end(),
                     [](const auto& item) { return item.second.is_reachable; });
}

}  // namespace bilberryspool::quarantine
