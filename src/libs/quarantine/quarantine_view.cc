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
    std::erase_if(reported.answers_reported_at, [&](const auto& item) {
      return now - item.second > options_.own_parts.answer_memory;
    });
  }
  std::vector<CompletionObserved> clearing;
  for (const QuarantineRecord& record : records) {
    reported.records.insert_or_assign(record.request,
                                      ReportedRecord{record, now});
    const auto completed_at =
        record.request.is_prompt_part()
            ? AnswerToReport(reported, record.request, now)
            : ClearedAt(record.request, now);
    if (completed_at.has_value()) {
      clearing.push_back({record.request, now - *completed_at});
    }
  }
  return clearing;
}

std::optional<TimePoint> QuarantineView::AnswerToReport(
    Source& source,
    const RequestFingerprint& part,
    TimePoint now) const {
  // Records arrive several times a second while targets terminate.
  constexpr Duration kMinInterval = Seconds(5);
  const auto answered = answered_parts_.Find(part);
  if (!answered.has_value() ||
      now - *answered >= options_.own_parts.answer_memory) {
    return std::nullopt;
  }
  const auto [last, is_first] = source.answers_reported_at.try_emplace(part);
  const bool is_due = is_first || now - last->second >= kMinInterval;
  if (!is_due && !ClearedAt(part, now).has_value()) {
    return std::nullopt;
  }
  last->second = now;
  return answered;
}

void QuarantineView::SetReachable(const std::string& source,
                                  bool is_reachable) {
  sources_[source].is_reachable = is_reachable;
}

bool QuarantineView::OnCompleted(const RequestFingerprint& request,
                                 TimePoint now) {
  completions_.Note(request, now);
  const bool is_changed = own_.OnCompleted({request, Duration::zero()}, now);
  return is_changed || IsOnRecord(request);
}

bool QuarantineView::OnPartAnswered(const RequestFingerprint& part,
                                    TimePoint began_at,
                                    TimePoint now) {
  const auto last = answered_parts_.Find(part);
  answered_parts_.Note(part, std::max(began_at, last.value_or(began_at)));
  own_parts_.OnAnswered({part, now - began_at}, now);
  return IsOnRecord(part);
}

bool QuarantineView::IsOnRecord(const RequestFingerprint& request) const {
  return std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    return item.second.records.count(request) > 0;
  });
}

Judgement QuarantineView::Judge(const RequestFingerprint& request,
                                TimePoint now) const {
  Judgement strictest;
  if (ClearedAt(request, now).has_value()) {
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
  const auto own = OwnRecordOf(request, now);
  if (!own.has_value()) {
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

std::optional<QuarantineRecord> QuarantineView::OwnRecordOf(
    const RequestFingerprint& request,
    TimePoint now) const {
  if (request.is_prompt_part()) {
    // One gateway sees too little of a part to judge it beside control nodes.
    return any_reachable() ? std::nullopt : own_parts_.RecordOf(request, now);
  }
  const auto last = own_.LastTerminationOf(request);
  const bool does_count =
      last.has_value() &&
      (!any_reachable() || now - *last < options_.own_observation_lifetime);
  return does_count ? own_.RecordOf(request, now) : std::nullopt;
}

bool QuarantineView::IsSuspect(const RequestFingerprint& request,
                               TimePoint now) const {
  if (ClearedAt(request, now).has_value()) {
    return false;
  }
  return IsOnRecord(request) || OwnRecordOf(request, now).has_value();
}

void QuarantineView::OnTermination(const TerminationObserved& end,
                                   TimePoint now) {
  if (end.request.is_prompt_part()) {
    own_parts_.OnTermination(end, now);
    return;
  }
  own_.OnTermination(end, now);
}

bool QuarantineView::TryTrial(const RequestFingerprint& request,
                              const std::string& requester,
                              TimePoint now) {
  return request.is_prompt_part() ? own_parts_.TryTrial(request, requester, now)
                                  : own_.TryTrial(request, requester, now);
}

void QuarantineView::OnTrialOver(const TrialOver& over) {
  own_.OnTrialOver(over);
  own_parts_.OnTrialOver(over);
}

void QuarantineView::Tick(TimePoint now) {
  own_.Tick(now);
  own_parts_.Judge(now);
}

std::vector<TerminationObserved> QuarantineView::OwnTerminations(
    TimePoint now) const {
  std::vector<TerminationObserved> terminations = own_.Terminations(now);
  const std::vector<TerminationObserved> of_parts =
      own_parts_.Terminations(now);
  terminations.insert(terminations.end(), of_parts.begin(), of_parts.end());
  return terminations;
}

std::vector<Observation> QuarantineView::OwnTerminationsOf(
    const RequestFingerprint& request,
    TimePoint now) const {
  std::vector<Observation> terminations;
  for (const TerminationObserved& end : OwnTerminations(now)) {
    if (end.request == request) {
      terminations.emplace_back(end);
    }
  }
  return terminations;
}

std::optional<TimePoint> QuarantineView::ClearedAt(
    const RequestFingerprint& request,
    TimePoint now) const {
  const bool is_part = request.is_prompt_part();
  const auto completed =
      (is_part ? answered_parts_ : completions_).Find(request);
  const Duration grace = is_part ? options_.own_parts.answer_grace_period
                                 : options_.own.completion_grace_period;
  return completed.has_value() && now - *completed < grace ? completed
                                                           : std::nullopt;
}

bool QuarantineView::any_reachable() const {
  return std::any_of(sources_.begin(), sources_.end(),
                     [](const auto& item) { return item.second.is_reachable; });
}

}  // namespace bilberryspool::quarantine
