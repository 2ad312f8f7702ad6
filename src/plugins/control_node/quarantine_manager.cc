#include "plugins/control_node/quarantine_manager.h"

#include <set>
#include <utility>

#include "libs/base/json_reading.h"
#include "libs/base/overloaded.h"
#include "libs/net/steady_time.h"
#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::control_node {

using net::SteadyNow;
using quarantine::Verdict;

namespace {

// Each change is sent to all gateways at once, which takes a small node some
// time.
constexpr Duration kMinUpdateInterval = Milliseconds(250);
constexpr std::uint32_t kMaxLogLinesPerSecond = 20;
// Time after a start in which gateways report again, other control nodes
// respond, and a leader is elected.
constexpr Duration kSettlingTime = Seconds(3);
constexpr Duration kLogReplayQuietTime = Milliseconds(300);
// Limits how much an attack with many such requests adds to the log.
constexpr Duration kMinSaveInterval = Seconds(5);
constexpr std::size_t kMaxSavedRecords = 64;

std::set<quarantine::RequestFingerprint> RequestsOf(
    const std::vector<quarantine::QuarantineRecord>& records) {
  std::set<quarantine::RequestFingerprint> requests;
  for (const quarantine::QuarantineRecord& record : records) {
    requests.insert(record.request);
  }
  return requests;
}

std::string LogSentence(const quarantine::QuarantineRecord& record) {
  const std::string subject =
      record.request.is_prompt_part() ? "A prompt part" : "A request";
  switch (record.verdict) {
    case Verdict::kFree:
      return subject + " may pass.";
    case Verdict::kOneAtATime:
      return subject + " runs one at a time.";
    case Verdict::kRefused:
      return subject + " is refused.";
  }
  return subject;
}

}  // namespace

QuarantineManager::QuarantineManager(net::FiberSignal& changed)
    : changed_(changed),
      log_("quarantine"),
      registry_(quarantine::QuarantineOptions{}),
      parts_(quarantine::PromptPartOptions{}),
      log_budget_(kMaxLogLinesPerSecond) {}

void QuarantineManager::Register(links::LinkServer& server) {
  server.Register("quarantine.report",
                  [this](const Json& params) { return OnReport(params); });
  server.Register("quarantine.trial",
                  [this](const Json& params) { return OnTrial(params); });
}

std::optional<boost::json::value> QuarantineManager::OnReport(
    const Json& params) {
  const TimePoint now = SteadyNow();
  const bool is_read = Report(params, now);
  Publish(now);
  return is_read ? std::optional<Json>(true) : std::nullopt;
}

bool QuarantineManager::Report(const Json& reports, TimePoint now) {
  const auto observations = quarantine::ObservationsFromJson(reports);
  if (!observations.has_value()) {
    log_.Warn("Failed to parse a gateway's quarantine report.", {});
    return false;
  }
  for (const quarantine::Observation& observation : *observations) {
    ApplyObservation(observation, now);
  }
  return true;
}

void QuarantineManager::ApplyObservation(
    const quarantine::Observation& observation,
    TimePoint now) {
  std::visit(Overloaded{
                 [&](const quarantine::TerminationObserved& end) {
                   if (end.request.is_prompt_part()) {
                     parts_.OnTermination(end, now);
                     return;
                   }
                   if (registry_.OnTermination(end, now)) {
                     LogVerdict(end.request, now);
                   }
                 },
                 [&](const quarantine::CompletionObserved& completion) {
                   const bool is_changed =
                       completion.request.is_prompt_part()
                           ? parts_.OnAnswered(completion, now)
                           : registry_.OnCompleted(completion, now);
                   if (is_changed) {
                     LogVerdict(completion.request, now);
                   }
                 },
                 [&](const quarantine::TrialOver& over) {
                   registry_.OnTrialOver(over);
                   parts_.OnTrialOver(over);
                 },
                 [&](const quarantine::ReleaseOrdered& release) {
                   ApplyRelease(release, now);
                 },
             },
             observation);
}

std::optional<boost::json::value> QuarantineManager::OnTrial(
    const Json& params) {
  const auto* object = params.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto text = json_reading::Text(*object, "request");
  const auto requester = json_reading::Text(*object, "asker");
  const auto request = text.has_value()
                           ? quarantine::RequestFingerprint::FromText(*text)
                           : std::nullopt;
  if (!request.has_value() || !requester.has_value()) {
    return std::nullopt;
  }
  const TimePoint now = SteadyNow();
  // Reports that the requester has sent separately may not have arrived yet.
  if (const auto* reports = object->if_contains("reports")) {
    Report(*reports, now);
  }
  const bool is_allowed = request->is_prompt_part()
                              ? parts_.TryTrial(*request, *requester, now)
                              : registry_.TryTrial(*request, *requester, now);
  trials_ += is_allowed ? 1 : 0;
  Publish(now);
  return Json(is_allowed);
}

void QuarantineManager::OnLogRecords(
    std::vector<quarantine::QuarantineRecord> records,
    TimePoint now) {
  log_records_ = std::move(records);
  log_records_received_at_ = now;
}

std::optional<std::vector<quarantine::QuarantineRecord>>
QuarantineManager::RecordsToSave(TimePoint now) {
  if (log_records_received_at_.has_value() ||
      now - save_requested_at_ < kMinSaveInterval) {
    return std::nullopt;
  }
  std::vector<quarantine::QuarantineRecord> refused;
  for (const quarantine::QuarantineRecord& record : published_records_) {
    if (record.verdict == Verdict::kRefused &&
        refused.size() < kMaxSavedRecords) {
      refused.push_back(record);
    }
  }
  if (RequestsOf(refused) == RequestsOf(log_records_)) {
    return std::nullopt;
  }
  save_requested_at_ = now;
  return refused;
}

void QuarantineManager::Tick(TimePoint now) {
  first_tick_at_ = first_tick_at_.value_or(now);
  if (!is_settled_ && now - *first_tick_at_ > kSettlingTime) {
    is_settled_ = true;
    ++published_revision_;
  }
  // Replaying the log after a start yields one list after the other; only the
  // last one is valid.
  if (log_records_received_at_.has_value() &&
      now - *log_records_received_at_ > kLogReplayQuietTime) {
    log_records_received_at_.reset();
    log_.Info("The log holds refused requests.",
              {{"records", log_records_.size()}});
    for (const quarantine::QuarantineRecord& record : log_records_) {
      AdoptRecord(record, now);
    }
  }
  for (const quarantine::RequestFingerprint& request : registry_.Tick(now)) {
    LogVerdict(request, now);
  }
  if (is_settled_) {
    for (const quarantine::RequestFingerprint& part : parts_.Judge(now)) {
      LogVerdict(part, now);
    }
  }
  Publish(now);
}

void QuarantineManager::Adopt(
    const std::vector<quarantine::QuarantineRecord>& records,
    TimePoint now) {
  for (const quarantine::QuarantineRecord& record : records) {
    AdoptRecord(record, now);
  }
  Publish(now);
}

bool QuarantineManager::Release(const quarantine::RequestFingerprint& request,
                                TimePoint now) {
  const bool is_held = ApplyRelease({request, Duration::zero()}, now);
  Publish(now);
  return is_held;
}

bool QuarantineManager::ApplyRelease(const quarantine::ReleaseOrdered& release,
                                     TimePoint now) {
  const bool is_held = release.request.is_prompt_part()
                           ? parts_.OnReleased(release, now)
                           : registry_.OnReleased(release, now);
  if (is_held) {
    LogVerdict(release.request, now);
  }
  return is_held;
}

void QuarantineManager::AdoptRecord(const quarantine::QuarantineRecord& record,
                                    TimePoint now) {
  if (record.request.is_prompt_part()) {
    parts_.Adopt(record, now);
    return;
  }
  registry_.Adopt(record, now);
}

std::optional<quarantine::QuarantineRecord> QuarantineManager::RecordOf(
    const quarantine::RequestFingerprint& request,
    TimePoint now) const {
  return request.is_prompt_part() ? parts_.RecordOf(request, now)
                                  : registry_.RecordOf(request, now);
}

void QuarantineManager::Publish(TimePoint now) {
  if (registry_revision() == published_registry_revision_ ||
      now - published_at_ < kMinUpdateInterval) {
    return;
  }
  published_registry_revision_ = registry_revision();
  published_at_ = now;
  const auto before = quarantine::UrgentVerdicts(published_records_);
  published_records_ = registry_.RecordsToReport(now);
  const auto parts = parts_.RecordsToReport(now);
  published_records_.insert(published_records_.end(), parts.begin(),
                            parts.end());
  ++published_revision_;
  if (quarantine::UrgentVerdicts(published_records_) != before) {
    urgent_revision_ = published_revision_;
    changed_.NotifyAll();
  }
}

void QuarantineManager::LogVerdict(
    const quarantine::RequestFingerprint& request,
    TimePoint now) {
  const auto record = RecordOf(request, now);
  if (!log_budget_.Take(now) || !record.has_value()) {
    return;
  }
  log_.Info(LogSentence(*record),
            {{"content", request.ToText()},
             {"service", record->service.value()},
             {"ends", record->terminations},
             {"since_ms", record->since / Milliseconds(1)},
             {"remaining_ms", record->remaining / Milliseconds(1)}});
}

}  // namespace bilberryspool::control_node
