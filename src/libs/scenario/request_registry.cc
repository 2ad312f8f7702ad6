#include "libs/scenario/request_registry.h"

#include <algorithm>

namespace bilberryspool::scenario {
namespace {

// Tolerance for answers after the deadline: the steps of a run take simulated
// time themselves.
constexpr Duration kSlack = Milliseconds(5);

}  // namespace

SendId RequestRegistry::Open(CallerRequest request,
                             const NodeId& entry,
                             TimePoint now) {
  CallerSend send;
  send.request = std::move(request);
  send.entry = entry;
  send.at = now;
  sends_.push_back(std::move(send));
  return SendId(sends_.size() - 1);
}

std::optional<CallerRequest> RequestRegistry::Find(const RequestId& id) const {
  for (const CallerSend& send : sends_) {
    if (send.request.id == id) {
      return send.request;
    }
  }
  return std::nullopt;
}

const CallerSend* RequestRegistry::LatestOf(const RequestId& id) const {
  const CallerSend* latest = nullptr;
  for (const CallerSend& send : sends_) {
    latest = send.request.id == id ? &send : latest;
  }
  return latest;
}

std::size_t RequestRegistry::RunsOf(const RequestId& id) const {
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second.size();
}

void RequestRegistry::MarkDisturbed(const NodeId& entry) {
  for (CallerSend& send : sends_) {
    const bool is_open = send.entry == entry && !send.final.has_value();
    send.disturbed = send.disturbed || is_open;
  }
}

void RequestRegistry::OnTargetStopping(const TargetId& target, TimePoint now) {
  stopping_targets_.emplace(target, now);
}

void RequestRegistry::OnRun(SendId id, const TargetId& target, TimePoint now) {
  const CallerSend& sent = send(id);
  std::vector<Run>& runs = runs_[sent.request.id];
  runs.push_back({id, now});
  Check(sent.request.idempotent || runs.size() <= 1, id,
        "a non-idempotent request runs twice");
  Check(sent.final != attempts::FinalKind::kNotRun, id,
        "it runs after it was answered as not run");
  const auto stopped = stopping_targets_.find(target);
  Check(stopped == stopping_targets_.end() ||
            now <= stopped->second + kDrainGracePeriod,
        id, "target " + target.value() + ", which is leaving, gets new work");
}

void RequestRegistry::OnAnswered(SendId id,
                                 const attempts::AnswerCaller& answer,
                                 TimePoint now) {
  CallerSend& sent = send(id);
  Check(!sent.final.has_value(), id, "a second final answer");
  sent.final = answer.kind;
  const std::string whole = AnswerTo(sent.request.id);
  Check(whole.starts_with(sent.text), id, "text of another answer");
  if (answer.kind == attempts::FinalKind::kAnswered) {
    const std::string text =
        answer.outcome ? answer.outcome->body.value_or("") : sent.text;
    Check(text == whole, id, "the answer isn't whole");
  }
  // Of an idempotent request, another send may have run.
  const bool covers_all_sends =
      answer.kind == attempts::FinalKind::kNotRun && !sent.request.idempotent;
  Check(!covers_all_sends || RunsOf(sent.request.id) == 0, id,
        "answered as not run, yet it ran");
  for (const Run& run : runs_[sent.request.id]) {
    Check(answer.kind != attempts::FinalKind::kNotRun || run.send != id, id,
          "answered as not run, yet it ran");
  }
  CheckDeadlines(now);
}

void RequestRegistry::CheckDeadlines(TimePoint now) {
  for (std::size_t i = 0; i < sends_.size(); ++i) {
    const CallerSend& sent = sends_[i];
    const bool is_open = !sent.final.has_value() && !sent.disturbed;
    Check(!is_open || !sent.deadline || now <= *sent.deadline + kSlack,
          SendId(i), "no answer by the deadline");
  }
}

void RequestRegistry::Check(bool holds, SendId id, const std::string& what) {
  if (!holds) {
    const CallerSend& sent = send(id);
    verdict_.Check(false, "request " + sent.request.id.value() + " through " +
                              sent.entry.value() + ": " + what);
  }
}

}  // namespace bilberryspool::scenario
