#include "plugins/gateway/quarantine_guard.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <utility>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::gateway {

namespace {

// The connections of all requests at a terminated target break within this
// time; their observations are reported together.
constexpr Duration kReportDelay = Milliseconds(3);
constexpr Duration kOwnPartRetention = Seconds(60);
constexpr std::size_t kMaxBrokenRequests = 512;
// Callers repeat a request that broke within seconds.
constexpr Duration kBrokenMemory = Seconds(60);

quarantine::QuarantineViewOptions MakeOptions() {
  quarantine::QuarantineViewOptions options;
  options.own.max_entries = 512;
  options.own_parts.max_entries = 512;
  // Answers that other gateways saw are not known here.
  options.own_parts.retention = kOwnPartRetention;
  return options;
}

}  // namespace

QuarantineGuard::QuarantineGuard(net::NetworkLoop& loop)
    : loop_(loop), view_(MakeOptions()), broken_(kMaxBrokenRequests) {}

bool QuarantineGuard::OnConnectionBroken(
    const quarantine::RequestFingerprint& request,
    const std::vector<quarantine::RequestFingerprint>& parts,
    TimePoint now) {
  const std::optional<TimePoint> last = broken_.Find(request);
  broken_.Note(request, now);
  return (last.has_value() && now - *last < kBrokenMemory) ||
         view_.Judge(request, now).terminations > 0 ||
         std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
           return view_.IsSuspect(part, now);
         });
}

void QuarantineGuard::OnTermination(const quarantine::TerminationObserved& end,
                                    TimePoint now) {
  view_.OnTermination(end, now);
  Report(end);
}

void QuarantineGuard::OnCompleted(const quarantine::RequestFingerprint& request,
                                  TimePoint now) {
  if (view_.OnCompleted(request, now)) {
    Report(quarantine::CompletionObserved{request, Duration::zero()});
  }
}

void QuarantineGuard::OnPartAnswered(const quarantine::RequestFingerprint& part,
                                     TimePoint began_at,
                                     TimePoint now) {
  if (view_.OnPartAnswered(part, began_at, now)) {
    Report(quarantine::CompletionObserved{part, now - began_at});
  }
}

void QuarantineGuard::OnTrialOver(const quarantine::RequestFingerprint& request,
                                  const std::string& requester) {
  view_.OnTrialOver({request, requester});
  Report(quarantine::TrialOver{request, requester});
}

bool QuarantineGuard::TryTrial(const quarantine::RequestFingerprint& request,
                               const std::string& requester) {
  if (view_.any_reachable()) {
    const std::string key = request.ToText();
    const auto answer = links_.call_one(
        key, "quarantine.trial",
        boost::json::object{
            {"request", key},
            {"asker", requester},
            {"reports", quarantine::ToJson(view_.OwnTerminationsOf(
                            request, net::SteadyNow()))}});
    if (answer.has_value()) {
      return answer->is_bool() && answer->as_bool();
    }
  }
  return view_.TryTrial(request, requester, net::SteadyNow());
}

void QuarantineGuard::Adopt(
    const std::string& source,
    const std::vector<quarantine::QuarantineRecord>& records,
    bool is_whole,
    TimePoint now) {
  for (const auto& completion : view_.Adopt(source, records, is_whole, now)) {
    Report(completion);
  }
}

void QuarantineGuard::ReportTerminationsAgain(TimePoint now) {
  for (const quarantine::TerminationObserved& end :
       view_.OwnTerminations(now)) {
    Report(end);
  }
}

void QuarantineGuard::Report(quarantine::Observation observation) {
  unreported_.push_back(std::move(observation));
  if (unreported_.size() > 1) {
    return;
  }
  loop_.Spawn([this] {
    loop_.SleepFor(kReportDelay);
    links_.call_all("quarantine.report",
                    quarantine::ToJson(std::exchange(unreported_, {})));
  });
}

}  // namespace bilberryspool::gateway
