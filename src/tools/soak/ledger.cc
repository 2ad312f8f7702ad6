#include "tools/soak/ledger.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libs/net/http_status.h"

namespace bilberryspool::soak {

using traffic::RequestKind;

namespace {

// Statuses that guarantee that the request has not run and never will.
constexpr std::array kNotRunStatuses = {408, 421, 429, 503};

bool PromisesNotRun(int status) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

bool IsServed(const CallEnded& ended) {
  return ended.ending == CallEnding::kAnswered &&
         net::status::IsSuccess(ended.status);
}

std::string TextOf(const CallSent& call) {
  return "id=" + call.id + " path=" + call.path +
         " gateway=" + std::to_string(call.gateway);
}

}  // namespace

void Ledger::OnSent(CallSent call) {
  const std::string id = call.id;
  calls_[id].sent = std::move(call);
}

void Ledger::OnEnded(const std::string& id, CallEnded ended) {
  calls_.at(id).ended = std::move(ended);
}

void Ledger::OnRun(RunSeen run) {
  const auto found = calls_.find(run.id);
  if (found == calls_.end()) {
    unrequested_runs_.push_back(std::move(run));
    return;
  }
  found->second.runs.push_back(std::move(run));
}

void Ledger::OnLeaving(const std::string& target, TimePoint at) {
  leaving_.try_emplace(target, at);
}

void Ledger::OnConfirmed(std::uint64_t version, TimePoint at) {
  confirmed_.try_emplace(version, at);
}

void Ledger::OnConfigurationViolation(std::string what) {
  reported_violations_.push_back(
      {"configurations are judged rightly", std::move(what)});
}

void Ledger::OnUnexpectedExit(std::string process) {
  reported_violations_.push_back(
      {"no process ends by itself", std::move(process)});
}

void Ledger::OnFault(const FaultEvent& fault_event,
                     TimePoint begun,
                     TimePoint undone) {
  faults_.push_back({fault_event, begun, undone});
}

bool Ledger::HasFault(VictimClass victims,
                      std::optional<std::uint32_t> victim,
                      bool counts_planned,
                      TimePoint from,
                      TimePoint to) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const Window& fault) {
    if (ClassOf(fault.fault_event.kind) != victims ||
        (victim.has_value() && fault.fault_event.victim != *victim) ||
        (!counts_planned && IsPlanned(fault.fault_event.kind))) {
      return false;
    }
    return fault.begun <= to &&
           fault.undone + options_.fault_effect_duration >= from;
  });
}

// Each call ends within its timeout, unless its gateway had a fault.
void Ledger::CheckEnd(const Call& call, Violations& found) const {
  if (!call.ended.has_value()) {
    found.push_back({"each call ends", TextOf(call.sent)});
    return;
  }
  if (call.ended->ending == CallEnding::kTimedOut &&
      !HasFault(VictimClass::kGateway, call.sent.gateway, true, call.sent.at,
                call.ended->at)) {
    found.push_back({"each caller is answered in time", TextOf(call.sent)});
  }
}

void Ledger::CheckAnswer(const Call& call, Violations& found) const {
  if (!call.ended.has_value() || !IsServed(*call.ended)) {
    return;
  }
  const CallEnded& ended = *call.ended;
  if (!ended.is_signed || !ended.is_own_body || ended.has_foreign_event) {
    found.push_back({"an answer is the target's own", TextOf(call.sent)});
  }
  if (call.runs.empty()) {
    found.push_back({"what is served has run", TextOf(call.sent)});
  }
}

void Ledger::CheckStream(const Call& call, Violations& found) const {
  if (call.sent.kind != RequestKind::kStream || !call.ended.has_value()) {
    return;
  }
  const CallEnded& ended = *call.ended;
  std::uint32_t expected = 0;
  for (const std::uint32_t event : ended.events) {
    if (event != ++expected) {
      found.push_back({"events come once and in order",
                       TextOf(call.sent) + " event=" + std::to_string(event) +
                           " expected=" + std::to_string(expected)});
      return;
    }
  }
  if (IsServed(ended) && expected != options_.events) {
    found.push_back(
        {"a stream that looks whole is whole",
         TextOf(call.sent) + " events=" + std::to_string(expected)});
  }
}

void Ledger::CheckRuns(const Call& call, Violations& found) const {
  for (const RunSeen& run : call.runs) {
    if (run.path != call.sent.path || run.body != call.sent.body ||
        run.workspace != call.sent.workspace) {
      found.push_back({"a request reaches its target unchanged",
                       TextOf(call.sent) + " target=" + run.target});
    }
  }
  if (call.sent.kind == RequestKind::kNonIdempotent && call.runs.size() > 1) {
    found.push_back(
        {"what may not be repeated runs once",
         TextOf(call.sent) + " runs=" + std::to_string(call.runs.size())});
  }
  if (call.sent.kind == RequestKind::kNonIdempotent && !call.runs.empty() &&
      call.ended.has_value() && PromisesNotRun(call.ended->status)) {
    found.push_back(
        {"what is refused has not run",
         TextOf(call.sent) + " status=" + std::to_string(call.ended->status)});
  }
}

// A planned stop interrupts no request that has reached a target, unless an
// unplanned fault overlaps with it.
void Ledger::CheckPlannedWork(const Call& call, Violations& found) const {
  if (!call.ended.has_value() || call.ended->ending != CallEnding::kBroken ||
      call.runs.empty()) {
    return;
  }
  const TimePoint from = call.sent.at;
  const TimePoint to = call.ended->at;
  const bool is_planned =
      HasFault(VictimClass::kGateway, call.sent.gateway, true, from, to) &&
      !HasFault(VictimClass::kGateway, call.sent.gateway, false, from, to);
  if (is_planned &&
      !HasFault(VictimClass::kTarget, std::nullopt, false, from, to) &&
      !HasFault(VictimClass::kControl, std::nullopt, false, from, to)) {
    found.push_back({"planned work cuts nothing", TextOf(call.sent)});
  }
}

void Ledger::CheckLeaving(Violations& found) const {
  constexpr Duration kInFlightAllowance = Milliseconds(300);
  for (const auto& [id, call] : calls_) {
    for (const RunSeen& run : call.runs) {
      const auto left = leaving_.find(run.target);
      if (left == leaving_.end() ||
          run.at <= left->second + options_.drain_time + kInFlightAllowance) {
        continue;
      }
      // Faults between the two moments are no excuse once their effect is over:
      // what was acknowledged must be known to all that are reachable again.
      const TimePoint from = left->second - options_.fault_effect_duration;
      const TimePoint calm_from = run.at - options_.drain_time;
      const auto is_disturbed = [&](VictimClass victims, bool counts_planned) {
        return HasFault(victims, std::nullopt, counts_planned, left->second,
                        left->second) ||
               HasFault(victims, std::nullopt, counts_planned, calm_from,
                        run.at);
      };
      const bool is_excused = is_disturbed(VictimClass::kGateway, false) ||
                              is_disturbed(VictimClass::kControl, true) ||
                              HasFault(VictimClass::kTarget, run.target_number,
                                       false, from, run.at);
      if (!is_excused) {
        found.push_back({"a target that left gets no new work",
                         TextOf(call.sent) + " target=" + run.target});
      }
    }
  }
}

// Holds for every node at all times: a node that can't be sure that its
// configuration is current answers with an error instead.
void Ledger::CheckReads(Violations& found) const {
  for (const ConfigurationRead& read : reads_) {
    std::uint64_t least = 0;
    for (const auto& [version, at] : confirmed_) {
      if (read.asked_at > at + options_.apply_time) {
        least = std::max(least, version);
      }
    }
    if (read.version < least) {
      found.push_back({"an accepted configuration never reverts",
                       "read=" + std::to_string(read.version) +
                           " confirmed=" + std::to_string(least)});
    }
  }
}

void Ledger::CheckRetries(Violations& found) const {
  std::vector<TimePoint> firsts;
  std::vector<TimePoint> repeats;
  for (const auto& [id, call] : calls_) {
    firsts.push_back(call.sent.at);
    for (std::size_t i = 1; i < call.runs.size(); ++i) {
      repeats.push_back(call.runs[i].at);
    }
  }
  std::sort(firsts.begin(), firsts.end());
  std::sort(repeats.begin(), repeats.end());
  const auto count_between = [](const std::vector<TimePoint>& times,
                                TimePoint from, TimePoint to) {
    return std::lower_bound(times.begin(), times.end(), to) -
           std::lower_bound(times.begin(), times.end(), from);
  };
  for (const TimePoint from : repeats) {
    const TimePoint to = from + options_.retry_window;
    const auto repeated = static_cast<double>(count_between(repeats, from, to));
    const auto requests = static_cast<double>(count_between(firsts, from, to));
    if (repeated > options_.retry_ratio * requests + options_.retry_slack) {
      found.push_back({"repeats stay within their budget",
                       std::to_string(repeated) + " of " +
                           std::to_string(requests) + " requests"});
      return;
    }
  }
}

void Ledger::CheckRecovery(Violations& found) const {
  if (!recovered_at_.has_value()) {
    return;
  }
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto& [id, call] : calls_) {
    const bool has_left =
        call.ended.has_value() && call.ended->ending == CallEnding::kCancelled;
    if (call.sent.at < *recovered_at_ || has_left) {
      continue;
    }
    ++sent;
    served += call.ended.has_value() && IsServed(*call.ended) ? 1 : 0;
  }
  if (sent == 0 || static_cast<double>(served) <
                       options_.recovered_share * static_cast<double>(sent)) {
    found.push_back({"all is served again after the last fault",
                     std::to_string(served) + " of " + std::to_string(sent)});
  }
}

std::vector<Violation> Ledger::FindViolations() const {
  Violations found = reported_violations_;
  for (const auto& [id, call] : calls_) {
    CheckEnd(call, found);
    CheckAnswer(call, found);
    CheckStream(call, found);
    CheckRuns(call, found);
    CheckPlannedWork(call, found);
  }
  for (const RunSeen& run : unrequested_runs_) {
    found.push_back({"nothing runs that nobody asked for", "id=" + run.id});
  }
  CheckLeaving(found);
  CheckReads(found);
  CheckRetries(found);
  CheckRecovery(found);
  return found;
}

Ledger::Totals Ledger::totals() const {
  Totals totals;
  totals.confirmed = confirmed_.size();
  for (const auto& [id, call] : calls_) {
    ++totals.sent;
    totals.runs += call.runs.size();
    if (!call.ended.has_value()) {
      continue;
    }
    switch (call.ended->ending) {
      case CallEnding::kAnswered:
        if (IsServed(*call.ended)) {
          ++totals.served;
        } else if (PromisesNotRun(call.ended->status)) {
          ++totals.refused;
        } else {
          ++totals.failed;
        }
        break;
      case CallEnding::kNotSent:
        ++totals.not_sent;
        break;
      case CallEnding::kBroken:
        ++totals.broken;
        break;
      case CallEnding::kTimedOut:
        ++totals.failed;
        break;
      case CallEnding::kCancelled:
        ++totals.left;
        break;
    }
  }
  return totals;
}

}  // namespace bilberryspool::soak
